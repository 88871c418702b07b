// Package ejection implements outlier ejection: it takes failing upstreams out of
// rotation and ramps their traffic up again afterwards.
//
// A State tracks one upstream. The upstream is ejected after several consecutive
// failures, or when most of its recent requests failed. At the end of the
// ejection time it gets a small share of the traffic, which grows over the
// recovery time. A failure during recovery ejects it again for twice as long.
//
// Allowed limits the fraction of a pool that may be ejected: when most of a pool
// appears to be failing, the failure signal is more likely to be wrong than the
// upstreams.
package ejection

import (
	"sync"
	"time"
)

const (
	consecutiveFailureThreshold = 5
	// minSamples and maxFailureRate are the conditions for the ejection of an
	// upstream whose failures are interleaved with successes.
	minSamples     = 20
	maxFailureRate = 0.5
	sampleWeight   = 0.05

	baseEjectionTime = 5 * time.Second
	maxEjectionTime  = 2 * time.Minute
	// recoveryTime is the time from the end of an ejection to full health.
	recoveryTime  = 10 * time.Second
	initialHealth = 0.1
	// slowStartTime is the time from joining to full health. Without it, all
	// instances would send work to the idle new upstream at the same time, because
	// they do not see each other's choices.
	slowStartTime = 5 * time.Second
	// backoffResetTime is the time at full health after which the next ejection
	// lasts only baseEjectionTime again.
	backoffResetTime = 2 * time.Minute
)

// State tracks the health of one upstream. The zero value is healthy. It is safe
// for concurrent use.
type State struct {
	mu                  sync.Mutex
	consecutiveFailures int
	samples             int
	failureRate         float64
	ejections           int
	ejectedUntil        time.Time // end of the last ejection
	joinedAt            time.Time
}

// RecordJoin records that the upstream joined a pool that already has others. Its
// health starts at initialHealth and grows over slowStartTime.
func (s *State) RecordJoin(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.joinedAt = now
}

// RecordSuccess records a successful request.
func (s *State) RecordSuccess() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.consecutiveFailures = 0
	s.samples++
	s.failureRate -= sampleWeight * s.failureRate
}

// RecordFailure records a failed request and reports whether it ejects the
// upstream.
func (s *State) RecordFailure(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.consecutiveFailures++
	s.samples++
	s.failureRate += sampleWeight * (1 - s.failureRate)
	if now.Before(s.ejectedUntil) {
		return false // the request was sent before the ejection
	}
	recovering := s.ejections > 0 && now.Before(s.ejectedUntil.Add(recoveryTime))
	mixed := s.samples >= minSamples && s.failureRate > maxFailureRate
	if !recovering && !mixed && s.consecutiveFailures < consecutiveFailureThreshold {
		return false
	}
	s.eject(now)
	return true
}

// Health returns 0 while the upstream is ejected, 1 when it is healthy, and a
// growing value in between during recovery and slow start.
func (s *State) Health(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ejections == 0 {
		return ramp(now.Sub(s.joinedAt), slowStartTime)
	}
	return ramp(now.Sub(s.ejectedUntil), recoveryTime)
}

// ramp returns the health at a time elapsed since the start of a ramp of the
// given duration.
func ramp(elapsed, duration time.Duration) float64 {
	switch {
	case elapsed < 0:
		return 0
	case elapsed >= duration:
		return 1
	}
	return initialHealth + (1-initialHealth)*float64(elapsed)/float64(duration)
}

func (s *State) eject(now time.Time) {
	if s.ejections > 0 && now.Sub(s.ejectedUntil) > recoveryTime+backoffResetTime {
		s.ejections = 0
	}
	ejectionTime := maxEjectionTime
	if s.ejections < 5 {
		ejectionTime = min(baseEjectionTime<<s.ejections, maxEjectionTime)
	}
	s.ejections++
	s.ejectedUntil = now.Add(ejectionTime)
	s.consecutiveFailures = 0
	s.samples = 0
	s.failureRate = 0
}

// Allowed reports whether the given number of upstreams of a pool may be ejected
// at the same time.
func Allowed(upstreams, ejected int) bool {
	return ejected <= upstreams/2
}
