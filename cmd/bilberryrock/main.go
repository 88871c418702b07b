// Command bilberryrock is the operators' command line. See package console.
package main

import (
	"os"

	"github.com/bilberryrock/bilberryrock/internal/entry/console"
)

func main() {
	os.Exit(console.Run(os.Args[1:], os.Stdout, os.Stderr))
}
