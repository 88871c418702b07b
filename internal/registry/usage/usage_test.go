package usage_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryrock/bilberryrock/internal/fleet/fakeclock"
	"github.com/bilberryrock/bilberryrock/internal/registry/usage"
)

func sorted(us []usage.Use) []usage.Use {
	slices.SortFunc(us, func(a, b usage.Use) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return us
}

// Guards against sums that count a gateway twice or keep one that left, and
// against sums that travel in circles between controllers.
func TestSums(t *testing.T) {
	is := is.New(t)
	u := usage.New(fakeclock.New(fakeclock.Start))
	u.Set("g1", []usage.Use{{ID: "e1", Active: 2}})
	u.Set("g2", []usage.Use{{ID: "e1", Active: 1}, {ID: "e2", Active: 5}})
	u.Set("g1", []usage.Use{{ID: "e1", Active: 3}})
	u.SetPeer("c2", []usage.Use{{ID: "e1", Active: 10}})
	is.Equal(sorted(u.Sums(true)), []usage.Use{{ID: "e1", Active: 14}, {ID: "e2", Active: 5}})
	is.Equal(sorted(u.Sums(false)), []usage.Use{{ID: "e1", Active: 4}, {ID: "e2", Active: 5}})
	u.Drop("g2")
	u.DropPeer("c2")
	is.Equal(u.Sums(true), []usage.Use{{ID: "e1", Active: 3}})
}

// Guards against a single gateway, which may itself be cut off, that sets an
// upstream aside for all others, and against failures that count for ever.
func TestFailuresNeedTwoWitnesses(t *testing.T) {
	is := is.New(t)
	c := fakeclock.New(fakeclock.Start)
	u := usage.New(c)
	u.Set("g1", []usage.Use{{ID: "e1", Active: 1, Failed: true}})
	is.Equal(u.Sums(true), []usage.Use{{ID: "e1", Active: 1}})
	u.Set("g2", []usage.Use{{ID: "e1", Failed: true}})
	is.Equal(u.Sums(true), []usage.Use{{ID: "e1", Active: 1, Failed: true}})
	c.Advance(time.Second + 1)
	is.Equal(u.Sums(true), []usage.Use{{ID: "e1", Active: 1}})
	u.SetPeer("c2", []usage.Use{{ID: "e3", Failed: true}})
	is.Equal(sorted(u.Sums(true)), []usage.Use{{ID: "e1", Active: 1}, {ID: "e3", Failed: true}})
}
