package quorumtest

import (
	"context"
	"testing"

	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/quorum"
	"github.com/matryer/is"
)

type counter struct{ count int }

func (c *counter) Apply(quorum.Index, []byte) []byte {
	c.count++
	return []byte{byte(c.count)}
}
func (c *counter) Snapshot() ([]byte, error) { return []byte{byte(c.count)}, nil }
func (c *counter) Restore(b []byte) error    { c.count = int(b[0]); return nil }
func (c *counter) Query([]byte) []byte       { return []byte{byte(c.count)} }

// TestFaults guards against injected faults that apply a command although Applied
// is unset, or don't apply it although Applied is set.
func TestFaults(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	p := New()
	p.Register(quorum.ConfigGroup, &counter{})
	unknown := refusal.New(refusal.OutcomeUnknown, "lost reply")
	p.InjectFaults(quorum.ConfigGroup, Fault{Err: unknown}, Fault{Err: unknown, Applied: true})
	for _, want := range []byte{0, 1, 2} {
		_, _ = p.Propose(ctx, quorum.ConfigGroup, nil)
		got, err := p.Read(ctx, quorum.ConfigGroup, nil)
		is.NoErr(err)
		is.Equal(got, []byte{want})
	}
	_, err := p.Propose(ctx, "orders-0", nil)
	is.Equal(refusal.KindOf(err), refusal.NotReady)
}
