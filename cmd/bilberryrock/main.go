// Command bilberryrock is the operators' command line. See package console.
package main

import (
	"os"

	// Time zones of quiet-hours windows must not depend on the host.
	_ "time/tzdata"

	"github.com/bilberryrock/bilberryrock/internal/entry/console"
)

func main() {
	os.Exit(console.Run(os.Args[1:], os.Stdout, os.Stderr))
}
