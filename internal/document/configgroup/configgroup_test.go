package configgroup

import (
	"context"
	"testing"

	"github.com/bilberryrock/bilberryrock/internal/quorum"
	"github.com/matryer/is"
)

// appendMachine is a state machine whose state is the concatenation of its
// commands.
type appendMachine struct{ text string }

func (l *appendMachine) Apply(_ quorum.Index, c []byte) []byte {
	l.text += string(c)
	return []byte(l.text)
}
func (l *appendMachine) Query([]byte) []byte       { return []byte(l.text) }
func (l *appendMachine) Snapshot() ([]byte, error) { return []byte(l.text), nil }
func (l *appendMachine) Restore(s []byte) error    { l.text = string(s); return nil }

// localProposer applies commands to a Machine without replication.
type localProposer struct{ *Machine }

func (d localProposer) Propose(_ context.Context, _ quorum.GroupID, c []byte) ([]byte, error) {
	return d.Apply(0, c), nil
}

func (d localProposer) Read(_ context.Context, _ quorum.GroupID, q []byte) ([]byte, error) {
	return d.Query(q), nil
}

// TestSelect guards against commands and snapshots that reach the wrong state
// machine, and against a truncated snapshot that is restored.
func TestSelect(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	m := New(&appendMachine{}, &appendMachine{})
	for _, c := range []string{"a", "b"} {
		_, err := Select(localProposer{m}, Register).Propose(ctx, quorum.ConfigGroup, []byte(c))
		is.NoErr(err)
	}
	reply, err := Select(localProposer{m}, Fencing).Propose(ctx, quorum.ConfigGroup, []byte("x"))
	is.NoErr(err)
	is.Equal(string(reply), "x")
	is.Equal(m.Apply(0, []byte("?y")), nil)
	is.Equal(m.Query(nil), nil)

	data, err := m.Snapshot()
	is.NoErr(err)
	restored := New(&appendMachine{}, &appendMachine{})
	is.NoErr(restored.Restore(data))
	reply, err = Select(localProposer{restored}, Register).Read(ctx, quorum.ConfigGroup, nil)
	is.NoErr(err)
	is.Equal(string(reply), "ab")
	is.Equal(string(restored.Query([]byte("f"))), "x")
	is.True(restored.Restore(data[:5]) != nil)
	is.True(restored.Restore(data[:10]) != nil)
}
