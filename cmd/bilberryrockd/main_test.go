package main

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"bilberryrockd": main})
}

// TestScripts guards against a settings file with a fault that is not answered
// with one line and exit status 2.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata", Setup: func(e *testscript.Env) error {
		return os.Mkdir(e.WorkDir+"/data", 0o700)
	}})
}
