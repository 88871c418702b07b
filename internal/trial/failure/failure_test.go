package failure_test

import (
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/bilberryrock/bilberryrock/internal/trial/failure"
)

var seed = flag.Uint64("seed", 1, "seed of the generated traffic")

// TestScripts guards against violations of the invariants that package traffic
// checks, under the failures of the scripts. Every command "run" of a script starts
// a new fleet.
func TestScripts(t *testing.T) {
	bin := build(t)
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		if strings.HasSuffix(path, ".long.txt") && os.Getenv("BILBERRYROCK_LONG") == "" {
			t.Skip("long script; set BILBERRYROCK_LONG=1 to run it")
		}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			size := failure.Size{DataCentres: 3, Daemons: 3, Engines: 6, Services: 3}
			if d.HasArg("large") {
				size = failure.Size{DataCentres: 3, Daemons: 12, Engines: 40, Services: 3}
			}
			return runScript(t, bin, size, d)
		})
	})
}

func runScript(t *testing.T, bin string, size failure.Size, d *datadriven.TestData) string {
	t.Logf("%s: seed %d", d.Pos, *seed)
	r, err := failure.Start(bin, t.TempDir(), size, *seed)
	if err != nil {
		t.Fatalf("%s: %v", d.Pos, err)
	}
	defer r.Close()
	for line := range strings.SplitSeq(d.Input, "\n") {
		if err := r.Execute(line); err != nil {
			t.Fatalf("%s: %q: %v\n%s%s", d.Pos, line, err, r.VoterStates(), r.Logs())
		}
	}
	violations, err := r.Violations()
	if err != nil {
		t.Fatalf("%s: %v", d.Pos, err)
	}
	t.Logf("%s:\n%s%s", d.Pos, r.Summary(), r.PeakLoad())
	if len(violations) > 0 {
		t.Logf("%s: seed %d\n%s", d.Pos, *seed, r.Logs())
		return strings.Join(violations, "\n") + "\n"
	}
	return "no fault\n"
}

// build compiles the programs into a temporary folder and returns its path.
func build(t *testing.T) string {
	t.Helper()
	bin := t.TempDir()
	cmd := exec.Command("go", "build", "-o", bin+string(filepath.Separator), "./cmd/...")
	cmd.Dir = filepath.Join("..", "..", "..")
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return bin
}
