package failure

import (
	"fmt"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberryrock/bilberryrock/internal/trial/processes"
	"github.com/bilberryrock/bilberryrock/internal/trial/traffic"
)

func (r *Run) startDaemons(size Size) error {
	var specs []processes.DaemonSpec
	for i := range size.Daemons {
		spec := processes.DaemonSpec{
			ID:         string(rune('a' + i)),
			DataCentre: fmt.Sprintf("dc%d", i%size.DataCentres+1),
		}
		if i < Voters {
			spec.Voter = i + 1
		}
		specs = append(specs, spec)
	}
	daemons, err := r.fleet.ConfigureDaemons(specs...)
	if err != nil {
		return err
	}
	for _, d := range daemons {
		r.daemons[d.Spec.ID] = d
		r.daemonNames = append(r.daemonNames, d.Spec.ID)
		if err := d.Start(); err != nil {
			return err
		}
	}
	for _, d := range daemons {
		if err := d.AwaitLive(waitTimeout); err != nil {
			return err
		}
	}
	return nil
}

func (r *Run) startStandins(size Size) error {
	for i := range size.Engines {
		layers := []string{"0:4", "4:8"}[i/size.DataCentres%2]
		if err := r.startStandin(fmt.Sprintf("engine-%d", i+1), i, size,
			"--kind", "engine", "--pool", "engines", "--model", traffic.Model, "--version", traffic.Version,
			"--layers", layers, "--totalLayers", strconv.Itoa(traffic.Layers), "--stepTime", "1ms", "--slots", "8"); err != nil {
			return err
		}
	}
	for i := range size.Services {
		if err := r.startStandin(fmt.Sprintf("desk-%d", i+1), i, size,
			"--kind", "service", "--pool", traffic.ServicePool, "--slots", "8", "--callTime", "5ms"); err != nil {
			return err
		}
	}
	return nil
}

// lingerPeriod is the time after the leave grace in which a leaving stand-in refuses
// new requests and records them as late.
const lingerPeriod = 2 * time.Second

func (r *Run) startStandin(id string, i int, size Size, args ...string) error {
	s, err := r.fleet.StartStandin(id, fmt.Sprintf("dc%d", i%size.DataCentres+1), append(args, "--linger", lingerPeriod.String())...)
	r.standins[id] = s
	return err
}

const sectionTemplate = `# change %d
[dataCentre "dc1"]
region = r1
[dataCentre "dc2"]
region = r1
[dataCentre "dc3"]
region = r1
[pool "engines"]
kind = engine
timeout = 10s
[pool %q]
kind = service
oncePaths = %s
timeout = 5s
[model %q]
version = %s
layers = %d
pool = engines
maxTokens = 256
[account "parish"]
keySha256 = %s
weight = 10
`

func (r *Run) submitFirstSection(Size) error {
	if err := r.submitUntil(r.daemonNames[0], waitTimeout); err != nil {
		return err
	}
	for _, d := range r.daemons {
		if err := d.AwaitReady(waitTimeout); err != nil {
			return err
		}
	}
	return r.awaitUpstreams()
}

// awaitUpstreams waits until every daemon reports usable upstreams of both pools.
func (r *Run) awaitUpstreams() error {
	deadline := time.Now().Add(waitTimeout)
	for _, name := range r.daemonNames {
		for {
			s, err := r.status(r.daemons[name])
			if err == nil && len(s.Upstreams) == 2 {
				break
			}
			if time.Now().After(deadline) {
				return errors.Errorf("%s does not report usable upstreams of both pools: %+v %v", name, s.Upstreams, err)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}
