// Package ejection takes upstreams that fail out of use and returns them slowly.
//
// A State belongs to one upstream. It is ejected after several failures in a
// row, or when most of its recent work failed. After a hold time it returns with
// a small share of the work that grows with time; a failure on the way back
// ejects it again for twice the time.
//
// Allowed limits how much of a pool may be out of use: when a signal says that
// most of a pool is bad, the signal is more likely to be wrong than the pool.
package ejection

import (
	"sync"
	"time"
)

const (
	failuresInRow = 5
	// minSamples and maxFailureShare eject an upstream whose failures are mixed
	// with successes.
	minSamples      = 20
	maxFailureShare = 0.5
	sampleWeight    = 0.05

	firstHold = 5 * time.Second
	maxHold   = 2 * time.Minute
	// returnTime is the time from the end of the hold to full health.
	returnTime  = 10 * time.Second
	firstHealth = 0.1
	// joinTime is the time from joining to full health. Instances do not see
	// each other's choices, and all find the idle newcomer at once.
	joinTime = 5 * time.Second
	// forgetTime is the time of full health after which the hold time starts
	// from firstHold again.
	forgetTime = 2 * time.Minute
)

// State is the health of one upstream. The zero value is sound. It is safe for
// concurrent use.
type State struct {
	mu           sync.Mutex
	inRow        int
	samples      int
	failureShare float64
	ejections    int
	until        time.Time // end of the last hold
	joined       time.Time
}

// Join records that the upstream joined a pool that has others. Its health grows
// from a small one.
func (s *State) Join(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.joined = now
}

// Succeed records work that ended well.
func (s *State) Succeed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inRow = 0
	s.samples++
	s.failureShare -= sampleWeight * s.failureShare
}

// Fail records failed work and returns whether it ejects the upstream.
func (s *State) Fail(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inRow++
	s.samples++
	s.failureShare += sampleWeight * (1 - s.failureShare)
	if now.Before(s.until) {
		return false // work from before the ejection
	}
	returning := s.ejections > 0 && now.Before(s.until.Add(returnTime))
	mixed := s.samples >= minSamples && s.failureShare > maxFailureShare
	if !returning && !mixed && s.inRow < failuresInRow {
		return false
	}
	s.eject(now)
	return true
}

// Health returns 0 while ejected, 1 when sound, and a growing value between them
// on the way back.
func (s *State) Health(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ejections == 0 {
		return ramp(now.Sub(s.joined), joinTime)
	}
	return ramp(now.Sub(s.until), returnTime)
}

// ramp returns the health at a time since the start of a return.
func ramp(since, whole time.Duration) float64 {
	switch {
	case since < 0:
		return 0
	case since >= whole:
		return 1
	}
	return firstHealth + (1-firstHealth)*float64(since)/float64(whole)
}

func (s *State) eject(now time.Time) {
	if s.ejections > 0 && now.Sub(s.until) > returnTime+forgetTime {
		s.ejections = 0
	}
	hold := maxHold
	if s.ejections < 5 {
		hold = min(firstHold<<s.ejections, maxHold)
	}
	s.ejections++
	s.until = now.Add(hold)
	s.inRow = 0
	s.samples = 0
	s.failureShare = 0
}

// Allowed returns whether a pool of n upstreams may have out of them ejected.
func Allowed(n, out int) bool {
	return out <= n/2
}
