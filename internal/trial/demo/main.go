// Command demo starts three daemons and several stand-ins in two data centres on
// loopback, submits a configuration, sends a lookup, a streamed completion and an
// order, prints the responses and which stand-in ran what, and stops all processes.
// It exits with status 1 on any error. `make demo` runs it.
package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/bilberryrock/bilberryrock/internal/trial/processes"
	"github.com/bilberryrock/bilberryrock/internal/upstream/standin"
)

// waitTimeout limits each wait of the demo. It is long so that the demo does not fail
// because the machine is busy.
const waitTimeout = 30 * time.Second

const sectionTemplate = `[dataCentre "dc1"]
region = midlands

[dataCentre "dc2"]
region = midlands

[pool "engines"]
kind = engine
timeout = 10s

[pool "plots"]
kind = service
oncePaths = /reprints
timeout = 5s

[model "transcriber"]
version = v1
layers = 8
pool = engines
minHolders = 1
maxTokens = 256

[account "parish"]
keySha256 = %s
weight = 10
`

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		os.Exit(1)
	}
	fmt.Println("demo passed")
}

func run() error {
	dir, err := os.MkdirTemp("", "bilberryrock-demo-")
	if err != nil {
		return errors.Wrap(err, "create folder")
	}
	f, err := processes.New("bin", dir)
	if err != nil {
		return err
	}
	defer f.Close()
	d := &demo{fleet: f}
	for _, step := range []func() error{
		d.start, d.submit, d.lookup, d.completion, d.order, d.status, d.explain, d.stop, d.checkRuns,
	} {
		if err := step(); err != nil {
			fmt.Fprintln(os.Stderr, f.Logs(2000))
			return err
		}
	}
	return os.RemoveAll(dir)
}

type demo struct {
	fleet    *processes.Fleet
	daemons  []*processes.Daemon
	standins []*processes.Standin
	// requestIDs holds the ids of the lookup, the completion and the repeated order.
	requestIDs []string
}

func printLine(format string, args ...any) { fmt.Printf(format+"\n", args...) }

func (d *demo) start() error {
	var err error
	d.daemons, err = d.fleet.ConfigureDaemons(
		processes.DaemonSpec{ID: "a", DataCentre: "dc1", Voter: 1},
		processes.DaemonSpec{ID: "b", DataCentre: "dc1", Voter: 2},
		processes.DaemonSpec{ID: "c", DataCentre: "dc2", Voter: 3},
	)
	if err != nil {
		return err
	}
	for _, daemon := range d.daemons {
		if err := daemon.Start(); err != nil {
			return err
		}
	}
	for _, daemon := range d.daemons {
		if err := daemon.AwaitLive(waitTimeout); err != nil {
			return err
		}
	}
	printLine("started daemons a and b in dc1, c in dc2")
	return d.startStandins()
}

func (d *demo) startStandins() error {
	for _, s := range []struct {
		id, dataCentre string
		args           []string
	}{
		{"engine-1", "dc1", engineArgs("0:4")},
		{"engine-2", "dc1", engineArgs("4:8")},
		{"engine-3", "dc2", engineArgs("0:4")},
		{"engine-4", "dc2", engineArgs("4:8")},
		{"desk-1", "dc1", serviceArgs()},
		{"desk-2", "dc2", serviceArgs()},
	} {
		standin, err := d.fleet.StartStandin(s.id, s.dataCentre, s.args...)
		if err != nil {
			return err
		}
		d.standins = append(d.standins, standin)
	}
	printLine("started 4 engines with half of the layers each, and 2 services")
	return nil
}

func engineArgs(layers string) []string {
	return []string{"--kind", "engine", "--pool", "engines", "--model", "transcriber", "--version", "v1", "--layers", layers, "--totalLayers", "8", "--stepTime", "1ms"}
}

func serviceArgs() []string { return []string{"--kind", "service", "--pool", "plots", "--slots", "4"} }

func (d *demo) submit() error {
	path := d.fleet.Path("alpha.section")
	if err := os.WriteFile(path, fmt.Appendf(nil, sectionTemplate, processes.Digest(processes.APIKey)), 0o600); err != nil {
		return errors.Wrap(err, "write section")
	}
	deadline := time.Now().Add(waitTimeout)
	for {
		output, exitStatus, err := d.daemons[1].RunOperatorCommand("submit", "--team", processes.Team, "--change", "demo-1", "--operator", "demo", path)
		if err != nil {
			return err
		}
		if exitStatus == 0 {
			printLine("submitted through b: %s", strings.TrimSpace(output))
			break
		}
		if time.Now().After(deadline) {
			return errors.Errorf("submit exited with status %d: %s", exitStatus, output)
		}
		time.Sleep(200 * time.Millisecond) // until the voters have elected a leader
	}
	for _, daemon := range d.daemons {
		if err := daemon.AwaitReady(waitTimeout); err != nil {
			return err
		}
	}
	printLine("the configuration is active on a, b and c")
	return nil
}

// callUntilOK sends a request until the response has status 200, because the stand-ins
// may not have announced themselves yet. It only repeats requests that were refused
// with "notRun", which is safe.
func callUntilOK(daemon *processes.Daemon, method, path string, header map[string]string, body string) (processes.Response, error) {
	deadline := time.Now().Add(waitTimeout)
	for {
		response, err := daemon.Call(method, path, header, body, waitTimeout)
		if err != nil || response.ReadErr != nil {
			return response, errors.Errorf("%s %s: %v %v", method, path, err, response.ReadErr)
		}
		if response.Status == http.StatusOK {
			return response, nil
		}
		if time.Now().After(deadline) || !bytes.Contains(response.Body, []byte(`"notRun":true`)) {
			return response, errors.Errorf("%s %s: status %d: %s", method, path, response.Status, response.Body)
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func (d *demo) lookup() error {
	response, err := callUntilOK(d.daemons[0], http.MethodGet, "/services/plots/lookups/row-7", nil, "")
	if err != nil {
		return err
	}
	d.keepRequestID(response)
	printLine("lookup through a: %s", bytes.TrimSpace(response.Body))
	return nil
}

func (d *demo) completion() error {
	const prompt, tokens = "Plot 12, row 7:", 24
	body := fmt.Sprintf(`{"model":"transcriber","prompt":%q,"max_tokens":%d,"stream":true}`, prompt, tokens)
	response, err := callUntilOK(d.daemons[2], http.MethodPost, "/v1/completions", nil, body)
	if err != nil {
		return err
	}
	text, done := processes.JoinCompletionEvents(response.Body)
	ids := make([]uint64, len(prompt))
	for i := range len(prompt) {
		ids[i] = uint64(prompt[i])
	}
	want, _ := standin.Generate("transcriber", "v1", "", 8, ids, tokens)
	printLine("streamed completion through c over a chain of two engines: %q", text)
	if text != want || !done {
		return errors.Errorf("completion: got %q (complete: %t), want %q", text, done, want)
	}
	d.keepRequestID(response)
	return nil
}

func (d *demo) order() error {
	header := map[string]string{"Idempotency-Key": "reprint-1"}
	first, err := callUntilOK(d.daemons[0], http.MethodPost, "/services/plots/reprints", header, `{"sheet":7}`)
	if err != nil {
		return err
	}
	printLine("order through a: %s", bytes.TrimSpace(first.Body))
	repeated, err := callUntilOK(d.daemons[2], http.MethodPost, "/services/plots/reprints", header, `{"sheet":7}`)
	if err != nil {
		return err
	}
	d.keepRequestID(repeated)
	printLine("same order through c: %s", bytes.TrimSpace(repeated.Body))
	if !bytes.Equal(first.Body, repeated.Body) {
		return errors.New("the repeated order got a different response")
	}
	return nil
}

func (d *demo) status() error { return d.printCommand("status") }

func (d *demo) keepRequestID(r processes.Response) {
	d.requestIDs = append(d.requestIDs, r.Header.Get("X-Request-Id"))
}

func (d *demo) explain() error {
	for _, id := range d.requestIDs {
		if err := d.printCommand("explain", id); err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) printCommand(args ...string) error {
	output, exitStatus, err := d.daemons[0].RunOperatorCommand(args...)
	if err != nil {
		return err
	}
	if exitStatus != 0 {
		return errors.Errorf("%s exited with status %d: %s", args[0], exitStatus, output)
	}
	printLine("bilberryrock %s:\n%s", strings.Join(args, " "), output)
	return nil
}

func (d *demo) stop() error {
	var stops errgroup.Group
	for _, s := range d.standins {
		stops.Go(func() error { return s.Stop(waitTimeout) })
	}
	if err := stops.Wait(); err != nil {
		return err
	}
	for _, daemon := range d.daemons {
		started := time.Now()
		if err := daemon.Stop(waitTimeout); err != nil {
			return err
		}
		printLine("stopped daemon %s in %s", daemon.Name, time.Since(started).Round(time.Millisecond))
	}
	printLine("stopped all processes")
	return nil
}

// checkRuns prints what each stand-in ran and checks that the order ran exactly once.
func (d *demo) checkRuns() error {
	orders := 0
	for _, s := range d.standins {
		runs, err := s.Runs()
		if err != nil {
			return err
		}
		counts := make(map[string]int)
		for _, r := range runs {
			counts[r.Kind+" "+r.Path]++
			if r.Key == "reprint-1" {
				orders++
			}
		}
		printLine("%s ran %v", s.ID, counts)
	}
	if orders != 1 {
		return errors.Errorf("the order ran %d times instead of once", orders)
	}
	return nil
}
