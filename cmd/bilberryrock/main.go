// Command bilberryrock is the command line of operators. See package console.
package main

import (
	"os"

	// Embeds the time zone database, so that the time zones of quiet-hours windows
	// do not depend on the host.
	_ "time/tzdata"

	"github.com/bilberryrock/bilberryrock/internal/entry/console"
)

func main() {
	os.Exit(console.Run(os.Args[1:], os.Stdout, os.Stderr))
}
