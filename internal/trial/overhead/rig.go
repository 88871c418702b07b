package overhead

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/trial/processes"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
	"github.com/bilberryrock/bilberryrock/internal/upstream/engine"
)

const (
	layers = 8
	// replicas is the number of engines for each half of the layers.
	replicas = 2
	// stepTime is the time that an engine needs for one batch.
	stepTime = 5 * time.Millisecond
	// slots is above the largest number of streams, so that no request is queued.
	slots = 128
	// maxTokens is the largest number of tokens of one completion.
	maxTokens = 32
	// startTimeout limits each wait during the start.
	startTimeout = 30 * time.Second
)

// services holds the service pool of each kind of lookup, with the time that a service
// needs for one call.
var services = map[Kind]struct {
	pool     string
	callTime time.Duration
}{
	Lookups:     {"plots", 2 * time.Millisecond},
	SlowLookups: {"archive", 20 * time.Millisecond},
}

const sectionTemplate = `[dataCentre "dc1"]
region = midlands

[pool "engines"]
kind = engine
timeout = 10s

[pool "plots"]
kind = service
timeout = 5s

[pool "archive"]
kind = service
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

// Testbed is a daemon with stand-ins for engines and services.
type Testbed struct {
	fleet    *processes.Fleet
	daemon   *processes.Daemon
	client   *http.Client
	dialer   *engine.Dialer
	engines  [2][]upstream.EngineClient
	services map[Kind][]upstream.ServiceClient
}

// Start starts the programs in bin with files in dir, and waits until the daemon
// serves completions and lookups.
func Start(bin, dir string) (*Testbed, error) {
	f, err := processes.New(bin, dir)
	if err != nil {
		return nil, err
	}
	r := &Testbed{
		fleet:    f,
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: slots}},
		dialer:   engine.NewDialer(),
		services: make(map[Kind][]upstream.ServiceClient),
	}
	for _, step := range []func() error{r.startDaemon, r.startStandins, r.submit, r.warmUp} {
		if err := step(); err != nil {
			r.Close()
			return nil, errors.Wrap(err, f.Logs(1000))
		}
	}
	return r, nil
}

// Close kills all processes and closes the connections.
func (r *Testbed) Close() {
	r.fleet.Close()
	r.client.CloseIdleConnections()
	r.dialer.Close()
}

func (r *Testbed) startDaemon() error {
	list, err := r.fleet.ConfigureDaemons(processes.DaemonSpec{ID: "a", DataCentre: "dc1", Voter: 1, ExtraSettings: "[log]\nlevel = warn"})
	if err != nil {
		return err
	}
	r.daemon = list[0]
	if err := r.daemon.Start(); err != nil {
		return err
	}
	return r.daemon.AwaitLive(startTimeout)
}

func (r *Testbed) startStandins() error {
	for half := range 2 {
		for i := range replicas {
			s, err := r.fleet.StartStandin(fmt.Sprintf("engine-%d-%d", half, i), "dc1",
				"--kind", "engine", "--pool", "engines", "--model", "transcriber", "--version", "v1",
				"--layers", fmt.Sprintf("%d:%d", half*layers/2, (half+1)*layers/2), "--totalLayers", fmt.Sprint(layers),
				"--stepTime", stepTime.String(), "--slots", fmt.Sprint(slots))
			if err != nil {
				return err
			}
			r.engines[half] = append(r.engines[half], r.dialer.Engine(upstreamOf(s)))
		}
	}
	for kind, service := range services {
		for i := range replicas {
			s, err := r.fleet.StartStandin(fmt.Sprintf("%s-%d", service.pool, i), "dc1",
				"--kind", "service", "--pool", service.pool, "--slots", fmt.Sprint(slots), "--callTime", service.callTime.String())
			if err != nil {
				return err
			}
			r.services[kind] = append(r.services[kind], r.dialer.Service(upstreamOf(s)))
		}
	}
	return nil
}

func upstreamOf(s *processes.Standin) upstream.Upstream {
	return upstream.Upstream{Announcement: upstream.Announcement{ID: fleet.UpstreamID(s.ID), Address: s.Address}}
}

func (r *Testbed) submit() error {
	path := r.fleet.Path("alpha.section")
	if err := os.WriteFile(path, fmt.Appendf(nil, sectionTemplate, processes.Digest(processes.APIKey)), 0o600); err != nil {
		return errors.Wrap(err, "write section")
	}
	err := retry(func() error {
		output, exitStatus, err := r.daemon.RunOperatorCommand("submit", "--team", processes.Team, "--change", "overhead-1", "--operator", "trial", path)
		if err == nil && exitStatus != 0 {
			err = errors.Errorf("submit exited with status %d: %s", exitStatus, output)
		}
		return err
	})
	if err != nil {
		return err
	}
	return r.daemon.AwaitReady(startTimeout)
}

// warmUp waits until one request of each kind has succeeded through the daemon, which
// requires that the stand-ins have announced themselves.
func (r *Testbed) warmUp() error {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	return retry(func() error {
		for kind := range services {
			_, lookup := r.lookups(kind)
			if err := lookup(ctx, 0, newMeasurements()); err != nil {
				return err
			}
		}
		return r.daemonCompletion(ctx, 0, newMeasurements())
	})
}

func retry(do func() error) error {
	deadline := time.Now().Add(startTimeout)
	for {
		err := do()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func (r *Testbed) sendRequest(ctx context.Context, method, path string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+r.daemon.CallersAddr+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	request.Header.Set("Authorization", "Bearer "+processes.APIKey)
	request.Header.Set("Content-Type", "application/json")
	return r.client.Do(request)
}
