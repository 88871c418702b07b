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
	var plans []processes.DaemonPlan
	for i := range size.Daemons {
		plan := processes.DaemonPlan{
			ID:         string(rune('a' + i)),
			DataCentre: fmt.Sprintf("dc%d", i%size.DataCentres+1),
		}
		if i < Voters {
			plan.Voter = i + 1
		}
		plans = append(plans, plan)
	}
	daemons, err := r.fleet.PlanDaemons(plans...)
	if err != nil {
		return err
	}
	for _, d := range daemons {
		r.daemons[d.Plan.ID] = d
		r.names = append(r.names, d.Plan.ID)
		if err := d.Start(); err != nil {
			return err
		}
	}
	for _, d := range daemons {
		if err := d.AwaitLive(patience); err != nil {
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

// linger is the time in which a leaving stand-in records new work as late.
const linger = 2 * time.Second

func (r *Run) startStandin(id string, i int, size Size, args ...string) error {
	s, err := r.fleet.StartStandin(id, fmt.Sprintf("dc%d", i%size.DataCentres+1), append(args, "--linger", linger.String())...)
	r.standins[id] = s
	return err
}

const section = `# change %d
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

func (r *Run) configure(Size) error {
	if err := r.submitUntil(r.names[0], patience); err != nil {
		return err
	}
	for _, d := range r.daemons {
		if err := d.AwaitReady(patience); err != nil {
			return err
		}
	}
	return r.awaitUpstreams()
}

// awaitUpstreams waits until every daemon knows a usable upstream of each pool.
func (r *Run) awaitUpstreams() error {
	end := time.Now().Add(patience)
	for _, name := range r.names {
		for {
			s, err := r.status(r.daemons[name])
			if err == nil && len(s.Upstreams) == 2 {
				break
			}
			if time.Now().After(end) {
				return errors.Errorf("%s does not know the upstreams: %+v %v", name, s.Upstreams, err)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}
