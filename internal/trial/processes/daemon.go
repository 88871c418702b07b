package processes

import (
	"bufio"
	"cmp"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// DaemonSpec is the configuration of a daemon.
type DaemonSpec struct {
	ID         string
	DataCentre string
	// Voter is the voter number. Zero means that the daemon is no voter and has no
	// durable state.
	Voter int
	// StopTimeout is the greatest time of a graceful stop. Zero means 20 s.
	StopTimeout time.Duration
	// ExtraSettings is appended to the settings file.
	ExtraSettings string
}

// defaultStopTimeout is the StopTimeout of a DaemonSpec that has none.
const defaultStopTimeout = 20 * time.Second

// Daemon is a bilberryrockd process.
type Daemon struct {
	*Process
	Spec DaemonSpec
	// Addresses of the listeners of the same names in the settings.
	CallersAddr, OperatorsAddr, UpstreamsAddr, PeersAddr, GossipAddr, PlatformAddr string

	fleet *Fleet
}

// ConfigureDaemons assigns addresses to new daemons and writes the settings of all
// daemons of the Fleet, so that each of them has all others as seeds.
func (f *Fleet) ConfigureDaemons(specs ...DaemonSpec) ([]*Daemon, error) {
	var list []*Daemon
	for _, spec := range specs {
		d := &Daemon{Spec: spec, fleet: f}
		for _, address := range []*string{&d.CallersAddr, &d.OperatorsAddr, &d.UpstreamsAddr, &d.PeersAddr, &d.GossipAddr, &d.PlatformAddr} {
			reserved, err := f.FreeAddress()
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

func (d *Daemon) settingsPath() string { return d.fleet.Path(d.Spec.ID + ".ini") }

// DataFolder returns the path of the folder with the durable state.
func (d *Daemon) DataFolder() string { return d.fleet.Path(d.Spec.ID + ".data") }

func (f *Fleet) settings(d *Daemon) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[instance]\nid = %s\ndataCentre = %s\nfleetSize = %d\ndrainDelay = 300ms\nstopTimeout = %s\n",
		d.Spec.ID, d.Spec.DataCentre, f.dataCentreSize(d.Spec.DataCentre), cmp.Or(d.Spec.StopTimeout, defaultStopTimeout))
	if d.Spec.Voter != 0 {
		fmt.Fprintf(&b, "dataFolder = %s\nvotes = true\n", d.DataFolder())
	}
	fmt.Fprintf(&b, "\n[listeners]\ncallers = %s\noperators = %s\nupstreams = %s\npeers = %s\ngossip = %s\nplatform = %s\n",
		d.CallersAddr, d.OperatorsAddr, d.UpstreamsAddr, d.PeersAddr, d.GossipAddr, d.PlatformAddr)
	fmt.Fprintf(&b, "\n[membership]\nseeds = %s\nsecretFile = %s\n", f.seeds(d), f.Path("gossip.secret"))
	fmt.Fprintf(&b, "\n[quorum]\nvoters = %s\n", f.voters())
	fmt.Fprintf(&b, "\n[operators]\ntokens = %s:%s\n", Team, Digest(Token))
	fmt.Fprintf(&b, "\n[upstreams]\ntokenFile = %s\n", f.Path("upstream.token"))
	fmt.Fprintf(&b, "\n[faults]\ninjection = true\n\n%s\n", d.Spec.ExtraSettings)
	return b.String()
}

// dataCentreSize returns the number of daemons in a data centre.
func (f *Fleet) dataCentreSize(dataCentre string) int {
	n := 0
	for _, d := range f.daemons {
		if d.Spec.DataCentre == dataCentre {
			n++
		}
	}
	return n
}

func (f *Fleet) seeds(self *Daemon) string {
	var list []string
	for _, d := range f.daemons {
		if d != self {
			list = append(list, d.GossipAddr)
		}
	}
	return strings.Join(list, ", ")
}

func (f *Fleet) voters() string {
	var list []string
	for _, d := range f.daemons {
		if d.Spec.Voter != 0 {
			list = append(list, fmt.Sprintf("%d@%s@%s", d.Spec.Voter, d.Spec.ID, d.PeersAddr))
		}
	}
	return strings.Join(list, ", ")
}

// Start starts the daemon. It may be called again after the daemon was killed or
// stopped.
func (d *Daemon) Start() error {
	p, err := d.fleet.start(d.Spec.ID, "bilberryrockd", "--config", d.settingsPath())
	if err != nil {
		return err
	}
	d.Process = p
	return nil
}

// AwaitLive waits until the liveness check of the daemon succeeds.
func (d *Daemon) AwaitLive(timeout time.Duration) error { return d.awaitOK("/live", timeout) }

// AwaitReady waits until the readiness check of the daemon succeeds.
func (d *Daemon) AwaitReady(timeout time.Duration) error { return d.awaitOK("/ready", timeout) }

const pollInterval = 50 * time.Millisecond

func (d *Daemon) awaitOK(path string, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		if !d.Running() {
			return errors.Errorf("%s exited", d.Spec.ID)
		}
		response, err := http.Get("http://" + d.PlatformAddr + path)
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(pollInterval)
	}
	return errors.Errorf("%s: %s did not respond with status 200 within %s", d.Spec.ID, path, timeout)
}

// probeTimeout limits one readiness check of a load balancer, and one read of the
// metrics.
const probeTimeout = time.Second

// ReportsNotReady reports whether the daemon responds that it is not ready. It is
// false for a daemon that does not respond.
func (d *Daemon) ReportsNotReady() bool {
	client := &http.Client{Timeout: probeTimeout}
	response, err := client.Get("http://" + d.PlatformAddr + "/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode != http.StatusOK
}

// Metric returns the sum of a metric over all label values.
func (d *Daemon) Metric(name string) (float64, error) {
	client := &http.Client{Timeout: probeTimeout}
	response, err := client.Get("http://" + d.PlatformAddr + "/metrics")
	if err != nil {
		return 0, errors.Wrapf(err, "get metrics of %s", d.Spec.ID)
	}
	defer response.Body.Close()
	sum := 0.0
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		rest, found := strings.CutPrefix(lines.Text(), name)
		if !found || rest == "" || rest[0] != '{' && rest[0] != ' ' {
			continue
		}
		value, err := strconv.ParseFloat(rest[strings.LastIndexByte(rest, ' ')+1:], 64)
		if err != nil {
			return 0, errors.Wrapf(err, "parse metric %s", name)
		}
		sum += value
	}
	return sum, errors.Wrap(lines.Err(), "read metrics")
}
