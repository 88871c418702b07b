package main

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"bilberryrockd": main})
}

// TestScripts guards against an invalid settings file that does not lead to a
// one-line error and exit status 2.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata", Setup: func(e *testscript.Env) error {
		return os.Mkdir(e.WorkDir+"/data", 0o700)
	}})
}
