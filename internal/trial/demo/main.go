// Command demo starts three daemons and several stand-ins in two data centres on
// loopback, submits a configuration, sends a lookup, a streamed completion and an
// order, prints the answers and what ran where, and stops everything. Any fault
// ends it with exit status 1. `make demo` runs it.
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

// patience bounds each wait of the demo. It is generous, because a busy machine
// must not make it fail.
const patience = 30 * time.Second

const section = `[dataCentre "dc1"]
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
		d.start, d.submit, d.lookup, d.completion, d.order, d.status, d.explain, d.stop, d.ran,
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
	// requests are the ids of the lookup, the completion and the repeated order.
	requests []string
}

func say(format string, args ...any) { fmt.Printf(format+"\n", args...) }

func (d *demo) start() error {
	var err error
	d.daemons, err = d.fleet.PlanDaemons(
		processes.DaemonPlan{ID: "a", DataCentre: "dc1", Voter: 1},
		processes.DaemonPlan{ID: "b", DataCentre: "dc1", Voter: 2},
		processes.DaemonPlan{ID: "c", DataCentre: "dc2", Voter: 3},
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
		if err := daemon.AwaitLive(patience); err != nil {
			return err
		}
	}
	say("started daemons a and b in dc1, c in dc2")
	return d.startStandins()
}

func (d *demo) startStandins() error {
	for _, s := range []struct {
		id, dataCentre string
		args           []string
	}{
		{"engine-1", "dc1", engine("0:4")},
		{"engine-2", "dc1", engine("4:8")},
		{"engine-3", "dc2", engine("0:4")},
		{"engine-4", "dc2", engine("4:8")},
		{"desk-1", "dc1", service()},
		{"desk-2", "dc2", service()},
	} {
		standin, err := d.fleet.StartStandin(s.id, s.dataCentre, s.args...)
		if err != nil {
			return err
		}
		d.standins = append(d.standins, standin)
	}
	say("started 4 engines that hold half of the layers each, and 2 services")
	return nil
}

func engine(layers string) []string {
	return []string{"--kind", "engine", "--pool", "engines", "--model", "transcriber", "--version", "v1", "--layers", layers, "--totalLayers", "8", "--stepTime", "1ms"}
}

func service() []string { return []string{"--kind", "service", "--pool", "plots", "--slots", "4"} }

func (d *demo) submit() error {
	path := d.fleet.Path("alpha.section")
	if err := os.WriteFile(path, fmt.Appendf(nil, section, processes.Digest(processes.APIKey)), 0o600); err != nil {
		return errors.Wrap(err, "write section")
	}
	end := time.Now().Add(patience)
	for {
		output, status, err := d.daemons[1].Operator("submit", "--team", processes.Team, "--change", "demo-1", "--operator", "demo", path)
		if err != nil {
			return err
		}
		if status == 0 {
			say("submitted through b: %s", strings.TrimSpace(output))
			break
		}
		if time.Now().After(end) {
			return errors.Errorf("submit ended with status %d: %s", status, output)
		}
		time.Sleep(200 * time.Millisecond) // the voters have not elected a leader yet
	}
	for _, daemon := range d.daemons {
		if err := daemon.AwaitReady(patience); err != nil {
			return err
		}
	}
	say("the configuration is in force on a, b and c")
	return nil
}

// call sends a request until it is answered with 200, because the stand-ins may
// not have announced themselves yet. Refusals that say "not run" are safe to
// repeat.
func call(daemon *processes.Daemon, method, path string, header map[string]string, body string) (processes.Reply, error) {
	end := time.Now().Add(patience)
	for {
		reply, err := daemon.Call(method, path, header, body, patience)
		if err != nil || reply.Broken != nil {
			return reply, errors.Errorf("%s %s: %v %v", method, path, err, reply.Broken)
		}
		if reply.Status == http.StatusOK {
			return reply, nil
		}
		if time.Now().After(end) || !bytes.Contains(reply.Body, []byte(`"notRun":true`)) {
			return reply, errors.Errorf("%s %s: status %d: %s", method, path, reply.Status, reply.Body)
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func (d *demo) lookup() error {
	reply, err := call(d.daemons[0], http.MethodGet, "/services/plots/lookups/row-7", nil, "")
	if err != nil {
		return err
	}
	d.keep(reply)
	say("lookup through a: %s", bytes.TrimSpace(reply.Body))
	return nil
}

func (d *demo) completion() error {
	const prompt, tokens = "Plot 12, row 7:", 24
	body := fmt.Sprintf(`{"model":"transcriber","prompt":%q,"max_tokens":%d,"stream":true}`, prompt, tokens)
	reply, err := call(d.daemons[2], http.MethodPost, "/v1/completions", nil, body)
	if err != nil {
		return err
	}
	text, done := processes.JoinEvents(reply.Body)
	ids := make([]uint64, len(prompt))
	for i := range len(prompt) {
		ids[i] = uint64(prompt[i])
	}
	want, _ := standin.Generate("transcriber", "v1", "", 8, ids, tokens)
	say("streamed completion through c over a chain of two engines: %q", text)
	if text != want || !done {
		return errors.Errorf("completion: got %q (end seen: %t), want %q", text, done, want)
	}
	d.keep(reply)
	return nil
}

func (d *demo) order() error {
	header := map[string]string{"Idempotency-Key": "reprint-1"}
	first, err := call(d.daemons[0], http.MethodPost, "/services/plots/reprints", header, `{"sheet":7}`)
	if err != nil {
		return err
	}
	say("order through a: %s", bytes.TrimSpace(first.Body))
	again, err := call(d.daemons[2], http.MethodPost, "/services/plots/reprints", header, `{"sheet":7}`)
	if err != nil {
		return err
	}
	d.keep(again)
	say("same order through c: %s", bytes.TrimSpace(again.Body))
	if !bytes.Equal(first.Body, again.Body) {
		return errors.New("the repeated order got another answer")
	}
	return nil
}

func (d *demo) status() error { return d.print("status") }

func (d *demo) keep(r processes.Reply) {
	d.requests = append(d.requests, r.Header.Get("X-Request-Id"))
}

func (d *demo) explain() error {
	for _, id := range d.requests {
		if err := d.print("explain", id); err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) print(args ...string) error {
	output, status, err := d.daemons[0].Operator(args...)
	if err != nil {
		return err
	}
	if status != 0 {
		return errors.Errorf("%s ended with status %d: %s", args[0], status, output)
	}
	say("bilberryrock %s:\n%s", strings.Join(args, " "), output)
	return nil
}

func (d *demo) stop() error {
	var stops errgroup.Group
	for _, s := range d.standins {
		stops.Go(func() error { return s.Stop(patience) })
	}
	if err := stops.Wait(); err != nil {
		return err
	}
	for _, daemon := range d.daemons {
		started := time.Now()
		if err := daemon.Stop(patience); err != nil {
			return err
		}
		say("stopped daemon %s in %s", daemon.Name, time.Since(started).Round(time.Millisecond))
	}
	say("stopped all processes")
	return nil
}

// ran prints what the stand-ins ran and checks that the order ran once.
func (d *demo) ran() error {
	orders := 0
	for _, s := range d.standins {
		runs, err := s.Runs()
		if err != nil {
			return err
		}
		counts := make(map[string]int)
		for _, r := range runs {
			counts[r.What+" "+r.Path]++
			if r.Key == "reprint-1" {
				orders++
			}
		}
		say("%s ran %v", s.ID, counts)
	}
	if orders != 1 {
		return errors.Errorf("the order ran %d times", orders)
	}
	return nil
}
