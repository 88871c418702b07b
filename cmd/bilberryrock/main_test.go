package main

import (
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"bilberryrock": main})
}

// TestScripts guards against errors that are not reported in one line that a script
// can parse, and against an invalid section that passes the offline check.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata"})
}
