// Package timeline derives the time of a replicated state machine from the timestamps
// of its commands. The clock of a single instance that runs ahead does not move this
// time ahead.
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

// Timeline keeps the newest timestamps of the two instances whose timestamps are the
// latest.
type Timeline struct {
	Newest       Reading `json:"first"`
	SecondNewest Reading `json:"second"`
}

// Reading is the newest timestamp of the commands of one instance.
type Reading struct {
	Instance fleet.InstanceID `json:"instance"`
	At       time.Time        `json:"at"`
}

// Observe records the timestamp of a command of instance i.
func (t *Timeline) Observe(i fleet.InstanceID, at time.Time) {
	switch {
	case i == t.Newest.Instance:
		t.Newest.At = later(t.Newest.At, at)
	case at.After(t.Newest.At):
		t.SecondNewest, t.Newest = t.Newest, Reading{i, at}
	case i == t.SecondNewest.Instance || at.After(t.SecondNewest.At):
		t.SecondNewest = Reading{i, later(t.SecondNewest.At, at)}
	}
}

// Now returns the second newest of the timestamps of all instances, or the newest one
// if only one instance has sent commands.
func (t *Timeline) Now() time.Time {
	if t.SecondNewest.Instance == "" {
		return t.Newest.At
	}
	return t.SecondNewest.At
}

// PeriodStart returns the start of a period that begins with a command of timestamp
// at. The start is not before Now, so that a delayed command or a slow clock does not
// shorten the period.
func (t *Timeline) PeriodStart(at time.Time) time.Time { return later(t.Now(), at) }

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
