package configgroup

import (
	"context"
	"testing"

	"github.com/bilberryrock/bilberryrock/internal/quorum"
	"github.com/matryer/is"
)

// list keeps its commands joined.
type list struct{ text string }

func (l *list) Apply(_ quorum.Index, c []byte) []byte { l.text += string(c); return []byte(l.text) }
func (l *list) Query([]byte) []byte                   { return []byte(l.text) }
func (l *list) Snapshot() ([]byte, error)             { return []byte(l.text), nil }
func (l *list) Restore(s []byte) error                { l.text = string(s); return nil }

type direct struct{ *Machine }

func (d direct) Propose(_ context.Context, _ quorum.GroupID, c []byte) ([]byte, error) {
	return d.Apply(0, c), nil
}

func (d direct) Read(_ context.Context, _ quorum.GroupID, q []byte) ([]byte, error) {
	return d.Query(q), nil
}

// TestParts guards against commands and snapshots that reach the wrong part.
func TestParts(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	m := New(&list{}, &list{})
	for _, c := range []string{"a", "b"} {
		_, err := Select(direct{m}, Register).Propose(ctx, quorum.ConfigGroup, []byte(c))
		is.NoErr(err)
	}
	reply, err := Select(direct{m}, Fencing).Propose(ctx, quorum.ConfigGroup, []byte("x"))
	is.NoErr(err)
	is.Equal(string(reply), "x")
	is.Equal(m.Apply(0, []byte("?y")), nil)
	is.Equal(m.Query(nil), nil)

	data, err := m.Snapshot()
	is.NoErr(err)
	restored := New(&list{}, &list{})
	is.NoErr(restored.Restore(data))
	reply, err = Select(direct{restored}, Register).Read(ctx, quorum.ConfigGroup, nil)
	is.NoErr(err)
	is.Equal(string(reply), "ab")
	is.Equal(string(restored.Query([]byte("f"))), "x")
	is.True(restored.Restore(data[:5]) != nil)
	is.True(restored.Restore(data[:10]) != nil)
}
