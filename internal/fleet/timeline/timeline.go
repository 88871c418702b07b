// Package timeline gives replicated state machines a time that comes from their
// commands and that one wrong clock does not move ahead.
//
//	t.Observe(command.Instance, command.At)
//	expired := !record.Expires.After(t.Now())
//
// The zero value of Timeline is ready for use.
package timeline

import (
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
)

// Timeline keeps the newest times of the two instances that are furthest ahead.
type Timeline struct {
	First  Mark `json:"first"`
	Second Mark `json:"second"`
}

// Mark is the newest time of one instance.
type Mark struct {
	Instance fleet.InstanceID `json:"instance"`
	At       time.Time        `json:"at"`
}

// Observe takes over the time of a command of an instance.
func (t *Timeline) Observe(i fleet.InstanceID, at time.Time) {
	switch {
	case i == t.First.Instance:
		t.First.At = later(t.First.At, at)
	case at.After(t.First.At):
		t.Second, t.First = t.First, Mark{i, at}
	case i == t.Second.Instance || at.After(t.Second.At):
		t.Second = Mark{i, later(t.Second.At, at)}
	}
}

// Now returns the second newest time of any instance. A single instance is
// trusted alone.
func (t *Timeline) Now() time.Time {
	if t.Second.Instance == "" {
		return t.First.At
	}
	return t.Second.At
}

// From returns the time at which a period starts that begins with a command of
// time at. It is not before Now, so that a late command or a slow clock shortens
// no period.
func (t *Timeline) From(at time.Time) time.Time { return later(t.Now(), at) }

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
