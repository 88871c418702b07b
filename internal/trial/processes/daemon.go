package processes

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// DaemonPlan describes a daemon.
type DaemonPlan struct {
	ID         string
	DataCentre string
	// Voter is the voter number; zero means that the daemon does not vote and
	// keeps no durable state.
	Voter int
	// Extra holds further lines of the settings file.
	Extra string
}

// Daemon is a bilberryrockd process.
type Daemon struct {
	*Process
	Plan DaemonPlan
	// Addresses of the listeners.
	Callers, Operators, Upstreams, Peers, Gossip, Platform string

	fleet *Fleet
}

// PlanDaemons reserves addresses for daemons and writes their settings. All of
// them know each other.
func (f *Fleet) PlanDaemons(plans ...DaemonPlan) ([]*Daemon, error) {
	var list []*Daemon
	for _, plan := range plans {
		d := &Daemon{Plan: plan, fleet: f}
		for _, address := range []*string{&d.Callers, &d.Operators, &d.Upstreams, &d.Peers, &d.Gossip, &d.Platform} {
			reserved, err := f.Address()
			if err != nil {
				return nil, err
			}
			*address = reserved
		}
		list = append(list, d)
	}
	f.daemons = append(f.daemons, list...)
	for _, d := range f.daemons {
		if err := os.WriteFile(d.settingsPath(), []byte(f.settings(d)), 0o600); err != nil {
			return nil, errors.Wrap(err, "write settings")
		}
	}
	return list, nil
}

func (d *Daemon) settingsPath() string { return d.fleet.Path(d.Plan.ID + ".ini") }

// DataFolder returns the folder of the durable state.
func (d *Daemon) DataFolder() string { return d.fleet.Path(d.Plan.ID + ".data") }

func (f *Fleet) settings(d *Daemon) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[instance]\nid = %s\ndataCentre = %s\nfleetSize = %d\ndrainDelay = 300ms\nstopTimeout = 20s\n",
		d.Plan.ID, d.Plan.DataCentre, f.sizeOf(d.Plan.DataCentre))
	if d.Plan.Voter != 0 {
		fmt.Fprintf(&b, "dataFolder = %s\nvotes = true\n", d.DataFolder())
	}
	fmt.Fprintf(&b, "\n[listeners]\ncallers = %s\noperators = %s\nupstreams = %s\npeers = %s\ngossip = %s\nplatform = %s\n",
		d.Callers, d.Operators, d.Upstreams, d.Peers, d.Gossip, d.Platform)
	fmt.Fprintf(&b, "\n[membership]\nseeds = %s\nsecretFile = %s\n", f.seeds(d), f.Path("gossip.secret"))
	fmt.Fprintf(&b, "\n[quorum]\nvoters = %s\n", f.voters())
	fmt.Fprintf(&b, "\n[operators]\ntokens = %s:%s\n", Team, Digest(Token))
	fmt.Fprintf(&b, "\n[upstreams]\ntokenFile = %s\n", f.Path("upstream.token"))
	fmt.Fprintf(&b, "\n[faults]\ninjection = true\n\n%s\n", d.Plan.Extra)
	return b.String()
}

// sizeOf returns the number of daemons in a data centre.
func (f *Fleet) sizeOf(dataCentre string) int {
	n := 0
	for _, d := range f.daemons {
		if d.Plan.DataCentre == dataCentre {
			n++
		}
	}
	return n
}

func (f *Fleet) seeds(self *Daemon) string {
	var list []string
	for _, d := range f.daemons {
		if d != self {
			list = append(list, d.Gossip)
		}
	}
	return strings.Join(list, ", ")
}

func (f *Fleet) voters() string {
	var list []string
	for _, d := range f.daemons {
		if d.Plan.Voter != 0 {
			list = append(list, fmt.Sprintf("%d@%s@%s", d.Plan.Voter, d.Plan.ID, d.Peers))
		}
	}
	return strings.Join(list, ", ")
}

// Start starts the daemon, also again after it was killed or stopped.
func (d *Daemon) Start() error {
	p, err := d.fleet.start(d.Plan.ID, "bilberryrockd", "--config", d.settingsPath())
	if err != nil {
		return err
	}
	d.Process = p
	return nil
}

// AwaitLive waits until the daemon answers the platform.
func (d *Daemon) AwaitLive(wait time.Duration) error { return d.await("/live", wait) }

// AwaitReady waits until the daemon is ready.
func (d *Daemon) AwaitReady(wait time.Duration) error { return d.await("/ready", wait) }

const pollInterval = 50 * time.Millisecond

func (d *Daemon) await(path string, wait time.Duration) error {
	end := time.Now().Add(wait)
	for time.Now().Before(end) {
		if !d.Running() {
			return errors.Errorf("%s ended", d.Plan.ID)
		}
		answer, err := http.Get("http://" + d.Platform + path)
		if err == nil {
			answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(pollInterval)
	}
	return errors.Errorf("%s: %s was not answered with 200 within %s", d.Plan.ID, path, wait)
}

// readyTimeout bounds one question of a balancer for readiness.
const readyTimeout = time.Second

// RefusesReady tells whether the daemon says that it is not ready. It is false
// for a daemon that does not answer.
func (d *Daemon) RefusesReady() bool {
	client := &http.Client{Timeout: readyTimeout}
	answer, err := client.Get("http://" + d.Platform + "/ready")
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode != http.StatusOK
}

// Metric returns the sum of a metric over all its labels.
func (d *Daemon) Metric(name string) (float64, error) {
	client := &http.Client{Timeout: readyTimeout}
	answer, err := client.Get("http://" + d.Platform + "/metrics")
	if err != nil {
		return 0, errors.Wrapf(err, "metrics of %s", d.Plan.ID)
	}
	defer answer.Body.Close()
	sum := 0.0
	lines := bufio.NewScanner(answer.Body)
	for lines.Scan() {
		rest, found := strings.CutPrefix(lines.Text(), name)
		if !found || rest == "" || rest[0] != '{' && rest[0] != ' ' {
			continue
		}
		value, err := strconv.ParseFloat(rest[strings.LastIndexByte(rest, ' ')+1:], 64)
		if err != nil {
			return 0, errors.Wrapf(err, "metric %s", name)
		}
		sum += value
	}
	return sum, errors.Wrap(lines.Err(), "read metrics")
}
