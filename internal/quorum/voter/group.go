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
	inboxInputs = 4096
	// batchInputs bounds the inputs that share one sync.
	batchInputs = 1024
)

// group owns the goroutine of one member.
type group struct {
	voter   *Voter
	id      quorum.GroupID
	member  *member
	inbox   chan func(*member)
	stopped chan struct{}
}

// run starts the goroutine. Ticks are counted before inputs are processed, so
// that a leader that was frozen notices it before it answers.
func (g *group) run() {
	c := g.voter.config
	m := g.member
	g.voter.wait.Go(func() {
		defer close(g.stopped)
		last := c.clock.Now()
		timer := c.clock.After(g.voter.untilTick())
		var seen sight
		for {
			var input func(*member)
			select {
			case <-g.voter.ctx.Done():
				return
			case <-timer:
				timer = c.clock.After(g.voter.untilTick())
			case input = <-g.inbox:
			}
			ticks := c.clock.Now().Sub(last) / c.tick
			last = last.Add(ticks * c.tick)
			m.tick(int(ticks), c.replica.ElectionTicks)
			g.process(input)
			m.flush()
			seen = g.report(seen)
		}
	})
}

// process runs an input and those that queued up meanwhile.
func (g *group) process(input func(*member)) {
	if input == nil {
		return
	}
	input(g.member)
	for range batchInputs {
		select {
		case input = <-g.inbox:
			input(g.member)
		default:
			return
		}
	}
}

// sight is what the log last told about a member.
type sight struct {
	leader quorum.VoterID
	term   quorum.Term
	failed bool
}

// report logs a change of leader or term, and the first failure.
func (g *group) report(seen sight) sight {
	m := g.member
	now := sight{leader: m.replica.Leader(), term: m.replica.Term(), failed: m.failure != nil}
	if now.leader != seen.leader || now.term != seen.term {
		g.voter.config.logger.Info("The leader changed.", zap.String("group", string(g.id)),
			zap.Uint64("leader", uint64(now.leader)), zap.Uint64("term", uint64(now.term)))
	}
	if now.failed && !seen.failed {
		g.voter.fail(m.failure)
	}
	return now
}

// background runs work beside the goroutine of the group, and what it returns in
// it.
func (g *group) background(work func() (finish func())) {
	g.voter.wait.Go(func() {
		finish := work()
		select {
		case g.inbox <- func(*member) { finish() }:
		case <-g.voter.ctx.Done():
		}
	})
}

// post queues an input. It drops the input when the group is overloaded.
func (g *group) post(f func(*member)) {
	select {
	case g.inbox <- f:
	default:
	}
}

// await runs f in the goroutine of the group and waits for its outcome.
func (g *group) await(ctx context.Context, f func(m *member, d done)) ([]byte, error) {
	type outcome struct {
		reply []byte
		err   error
	}
	result := make(chan outcome, 1)
	d := func(reply []byte, err error) { result <- outcome{reply, err} }
	select {
	case g.inbox <- func(m *member) { f(m, d) }:
	case <-ctx.Done():
		return nil, refusal.Because(refusal.NotReady, ctx.Err(), "group %q is busy", g.id)
	case <-g.stopped:
		return nil, refusal.New(refusal.Stopping, "voter is stopping")
	}
	select {
	case o := <-result:
		return o.reply, o.err
	case <-ctx.Done():
		return nil, unknown(g.id, ctx.Err().Error())
	case <-g.stopped:
		return nil, unknown(g.id, "voter is stopping")
	}
}

// send hands a message to the transport. What the receiver told about itself is
// newer than the members in the log, and a learner without a log has only that.
func (g *group) send(msg replica.Message) {
	to, ok := g.voter.known(msg.To)
	if !ok {
		if to, ok = g.member.replica.Voter(msg.To); !ok {
			return
		}
	}
	g.voter.transport.send(to, envelope{group: g.id, message: msg}, func(err error) {
		g.post(func(m *member) { m.replica.SnapshotSent(msg.To, err == nil) })
	})
}

// resign transfers the leadership to the voter with the longest log, and waits
// until it has taken over.
func (g *group) resign(ctx context.Context) {
	c := g.voter.config
	led := false
	for tick := 0; tick < 2*c.replica.ElectionTicks; tick++ {
		again, err := g.status(ctx)
		if err != nil || again.Role != replica.Leader {
			return
		}
		if !led {
			led = g.transfer(ctx, again)
		}
		if !led {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-c.clock.After(c.tick):
		}
	}
}

func (g *group) transfer(ctx context.Context, s replica.Status) bool {
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
	_, err := g.await(ctx, func(m *member, d done) {
		if err := m.replica.Transfer(to); err != nil {
			d(nil, m.notRun(err))
			return
		}
		d(nil, nil)
	})
	return err
}

func (g *group) status(ctx context.Context) (replica.Status, error) {
	var s replica.Status
	_, err := g.await(ctx, func(m *member, d done) {
		s = m.replica.Status()
		d(nil, nil)
	})
	if err != nil {
		return replica.Status{}, err // s may still be written
	}
	return s, nil
}
