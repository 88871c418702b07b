package daemon

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"github.com/bilberryrock/bilberryrock/internal/entry/caller"
	"github.com/bilberryrock/bilberryrock/internal/entry/operator"
	"github.com/bilberryrock/bilberryrock/internal/entry/platform"
	"github.com/bilberryrock/bilberryrock/internal/upstream/roster"
)

// requests holds the APIs.
type requests struct {
	daemon    *Daemon
	callers   http.Handler
	operators http.Handler
	upstreams http.Handler
	platform  http.Handler
}

func (d *Daemon) openRequests() error {
	r := &requests{daemon: d}
	d.requests = r
	s := d.settings
	r.callers = caller.New(caller.Parts{
		Instance: s.Instance.ID,
		Config:   d.state.config.Load,
		Gate:     d.decisions.gate,
		Courier:  d.decisions.courier,
		Lookups:  d.decisions.dispatcher,
		Orders:   r,
		Trail:    d.state.trail,
		Clock:    d.clock,
		Log:      d.log.Named("caller"),
	}, caller.WithLimits(s.Limits), caller.WithDeadlines(s.Requests.Deadline, s.Requests.MaxDeadline)).Handler()
	r.operators = operator.New(operator.Parts{
		Documents: d.state.register,
		Finder:    r,
		Status:    d.status,
		Tokens:    s.Operators.Tokens,
		Clock:     d.clock,
		Log:       d.log.Named("operator"),
	}, operator.WithLimits(s.Limits), operator.WithTimeout(2*s.Quorum.ProposalTimeout)).Handler()
	r.upstreams = roster.NewHandler(d.decisions.roster, d.clock, roster.WithToken(string(s.Upstreams.Token)))
	r.platform = platform.Handler(&d.health, d.metrics)
	return nil
}

func (d *Daemon) listen() error {
	l := d.settings.Listeners
	for _, one := range []struct {
		name, address    string
		handler          http.Handler
		certificate, key string
	}{
		{"platform", l.Platform, d.requests.platform, "", ""},
		{"upstreams", l.Upstreams, d.requests.upstreams, "", ""},
		{"operators", l.Operators, d.requests.operators, d.settings.Operators.Certificate, d.settings.Operators.Key},
		{"callers", l.Callers, d.requests.callers, "", ""},
	} {
		s, err := startServer(one.name, one.address, one.handler, d.settings.Limits, one.certificate, one.key, d.log.Named(one.name), d.failed)
		if err != nil {
			return err
		}
		d.servers = append(d.servers, s)
	}
	return nil
}

// drain refuses new requests and waits for those in progress.
func (r *requests) drain(ctx context.Context) error {
	return errors.Wrap(r.daemon.decisions.gate.Close(ctx), "drain requests")
}
