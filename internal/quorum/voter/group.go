package voter

import (
	"context"
	"slices"

	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/quorum"
	"github.com/bilberryrock/bilberryrock/internal/quorum/replica"
	"go.uber.org/zap"
)

const (
	// inboxSize is the maximum number of queued inputs.
	inboxSize = 4096
	// maxBatchInputs is the maximum number of queued inputs that are processed
	// together with the first one and share its sync.
	maxBatchInputs = 1024
)

// group runs the goroutine that drives one member.
type group struct {
	voter   *Voter
	id      quorum.GroupID
	member  *member
	inbox   chan func(*member)
	stopped chan struct{}
}

// run starts the goroutine. It counts the passed ticks before it processes inputs,
// so that a leader whose process was frozen detects the gap before it answers.
func (g *group) run() {
	c := g.voter.config
	m := g.member
	g.voter.goroutines.Go(func() {
		defer close(g.stopped)
		lastTick := c.clock.Now()
		timer := c.clock.After(g.voter.timeToNextTick())
		var reported reportedState
		for {
			var input func(*member)
			select {
			case <-g.voter.ctx.Done():
				return
			case <-timer:
				timer = c.clock.After(g.voter.timeToNextTick())
			case input = <-g.inbox:
			}
			ticks := c.clock.Now().Sub(lastTick) / c.tickInterval
			lastTick = lastTick.Add(ticks * c.tickInterval)
			m.tick(int(ticks), c.replicaOptions.ElectionTicks)
			g.process(input)
			m.flush()
			reported = g.reportChanges(reported)
		}
	})
}

// process runs an input and those that are queued, up to maxBatchInputs.
func (g *group) process(input func(*member)) {
	if input == nil {
		return
	}
	input(g.member)
	for range maxBatchInputs {
		select {
		case input = <-g.inbox:
			input(g.member)
		default:
			return
		}
	}
}

// reportedState is the state of a member that was last logged.
type reportedState struct {
	leader quorum.VoterID
	term   quorum.Term
	failed bool
}

// reportChanges logs a change of leader or term, and reports the first failure. It
// returns the current state.
func (g *group) reportChanges(reported reportedState) reportedState {
	m := g.member
	current := reportedState{leader: m.replica.Leader(), term: m.replica.Term(), failed: m.failure != nil}
	if current.leader != reported.leader || current.term != reported.term {
		g.voter.config.logger.Info("The leader changed.", zap.String("group", string(g.id)),
			zap.Uint64("leader", uint64(current.leader)), zap.Uint64("term", uint64(current.term)))
	}
	if current.failed && !reported.failed {
		g.voter.fail(m.failure)
	}
	return current
}

// background runs work in a new goroutine, and then the function that work returned
// in the goroutine of the group.
func (g *group) background(work func() (finish func())) {
	g.voter.goroutines.Go(func() {
		finish := work()
		select {
		case g.inbox <- func(*member) { finish() }:
		case <-g.voter.ctx.Done():
		}
	})
}

// enqueue adds an input to the inbox, or drops it if the inbox is full.
func (g *group) enqueue(f func(*member)) {
	select {
	case g.inbox <- f:
	default:
	}
}

// do runs f in the goroutine of the group and waits for the outcome that f passes
// to d.
func (g *group) do(ctx context.Context, f func(m *member, d doneFunc)) ([]byte, error) {
	type outcome struct {
		reply []byte
		err   error
	}
	result := make(chan outcome, 1)
	d := func(reply []byte, err error) { result <- outcome{reply, err} }
	select {
	case g.inbox <- func(m *member) { f(m, d) }:
	case <-ctx.Done():
		return nil, refusal.WithCause(refusal.NotReady, ctx.Err(), "group %q is busy", g.id)
	case <-g.stopped:
		return nil, refusal.New(refusal.Stopping, "voter is stopping")
	}
	select {
	case o := <-result:
		return o.reply, o.err
	case <-ctx.Done():
		return nil, outcomeUnknown(g.id, ctx.Err().Error())
	case <-g.stopped:
		return nil, outcomeUnknown(g.id, "voter is stopping")
	}
}

// send passes a message to the transport. The address that the receiver itself has
// sent takes precedence over the one in the log: it is newer, and a learner without
// a log knows no other.
func (g *group) send(msg replica.Message) {
	to, ok := g.voter.knownVoter(msg.To)
	if !ok {
		if to, ok = g.member.replica.Voter(msg.To); !ok {
			return
		}
	}
	g.voter.transport.send(to, envelope{group: g.id, message: msg}, func(err error) {
		g.enqueue(func(m *member) { m.replica.SnapshotSent(msg.To, err == nil) })
	})
}

// transferLeadership transfers the leadership to the voter with the longest log. It waits until
// the replica no longer leads, for at most two election timeouts.
func (g *group) transferLeadership(ctx context.Context) {
	c := g.voter.config
	transferring := false
	for tick := 0; tick < 2*c.replicaOptions.ElectionTicks; tick++ {
		s, err := g.status(ctx)
		if err != nil || s.Role != replica.Leader {
			return
		}
		if !transferring {
			transferring = g.transferToLongestLog(ctx, s)
		}
		if !transferring {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-c.clock.After(c.tickInterval):
		}
	}
}

// transferToLongestLog starts a transfer of the leadership to the active voter whose
// log is the longest, and reports whether it succeeded.
func (g *group) transferToLongestLog(ctx context.Context, s replica.Status) bool {
	ps := slices.DeleteFunc(s.Progress, func(p replica.Progress) bool {
		return p.Voter.ID == s.ID || p.Voter.Learner || !p.Active || p.Lost
	})
	if len(ps) == 0 {
		return false
	}
	best := slices.MaxFunc(ps, func(a, b replica.Progress) int { return int(a.Match) - int(b.Match) })
	return g.transferTo(ctx, best.Voter.ID) == nil
}

func (g *group) transferTo(ctx context.Context, to quorum.VoterID) error {
	_, err := g.do(ctx, func(m *member, d doneFunc) {
		if err := m.replica.TransferLeadership(to); err != nil {
			d(nil, m.rejected(err))
			return
		}
		d(nil, nil)
	})
	return err
}

func (g *group) status(ctx context.Context) (replica.Status, error) {
	var s replica.Status
	_, err := g.do(ctx, func(m *member, d doneFunc) {
		s = m.replica.Status()
		d(nil, nil)
	})
	if err != nil {
		return replica.Status{}, err // The callback may still write s.
	}
	return s, nil
}
