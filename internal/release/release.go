// Package release holds the types of a configuration that is replaced as a
// whole: a Release carries a Version, and the highest accepted Version is in
// force.
//
// A Decoder turns the bytes that an operator sent into a checked Release.
// Package store keeps the accepted bytes in a replicated log, and package table
// answers which route and which account a request belongs to.
package release

import (
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
)

//go:generate ../../bin/stringer -type=RouteType -linecomment -output=names_string.go

// Version orders releases. Zero means that there is none.
type Version uint64

// RouteType tells how often a request of a route may run.
type RouteType int

// The kinds of routes.
const (
	// Once is a request that may run at most once.
	Once RouteType = iota // once
	// Idempotent is a request that may run any number of times.
	Idempotent // idempotent
	// Stream is a request whose answer is a series of numbered events.
	Stream // stream
)

// Release is one whole configuration.
type Release struct {
	Version  Version
	Routes   []Route
	Services []Service
	Limits   Limits
	Accounts []Account
}

// Route sends the requests of a host below a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Repeat RouteType
	// Timeout is the longest time that a request waits for its answer.
	Timeout time.Duration
	// Target is the time within which an answer has its full worth.
	Target   time.Duration
	Priority int
	Split    []Share
	// MaxAttempts bounds the upstreams to which one request is sent.
	MaxAttempts int
	// Public routes need no account key.
	Public bool
	// Resumable streams may go on at another upstream.
	Resumable bool
	// MaxGap is the longest pause between two events of a stream that is on time.
	MaxGap time.Duration
}

// Share is the weight of one service of a Route.
type Share struct {
	Pool   fleet.PoolID
	Weight int
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Pool fleet.PoolID
	// MaxConnections bounds the connections that one upstream accepts.
	MaxConnections int
	// Engine describes the model engines of the pool. It is nil for plain
	// services.
	Engine *Engine
}

// Engine describes the engines of one pool and the model that they run together.
type Engine struct {
	Layers int
	// LayerMB is the weight of one layer in megabytes.
	LayerMB float64
	// TokenBytes is the KV-cache memory of one token over all layers.
	TokenBytes float64
	// StepMS is the time of one token over all layers on a card of pace 1.
	StepMS float64
	// ReadPerSecond is the rate of prompt tokens over all layers on a card of read
	// factor 1.
	ReadPerSecond float64
	// ActivationBytes is what one token sends to the next stage.
	ActivationBytes float64
	// PipeMbps is the rate between two data centres.
	PipeMbps float64
	// UsualPrompt and UsualAnswer are mean numbers of tokens.
	UsualPrompt, UsualAnswer int
	// LoadSeconds is the time to load all layers.
	LoadSeconds float64
	// LoadsAtOnce is the number of loads that the weight store serves at full rate.
	LoadsAtOnce int
	Cards       map[string]Card
}

// Card is one kind of accelerator.
type Card struct {
	MemoryMB float64
	// Pace multiplies StepMS.
	Pace float64
	// ReadFactor divides ReadPerSecond.
	ReadFactor float64
}

// Limits bound what a client may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Account is a client account and its keys.
type Account struct {
	ID       fleet.AccountID
	Keys     []string
	Priority int
}

// Decoder reads a configuration in the format of the operator. An error has the
// kind refusal.BadRequest and says what is invalid.
type Decoder interface {
	Decode(content []byte) (*Release, error)
}

// Check returns what makes a release invalid, with kind refusal.BadRequest.
func (r *Release) Check() error {
	if r.Version == 0 {
		return refusal.New(refusal.BadRequest, "version is missing")
	}
	pools := make(map[fleet.PoolID]bool)
	for _, s := range r.Services {
		pools[s.Pool] = true
	}
	if err := r.checkRoutes(pools); err != nil {
		return err
	}
	owners := make(map[string]fleet.AccountID)
	for _, a := range r.Accounts {
		for _, k := range a.Keys {
			if other, ok := owners[k]; ok && other != a.ID {
				return refusal.New(refusal.BadRequest, "accounts %q and %q share a key", other, a.ID)
			}
			owners[k] = a.ID
		}
	}
	return nil
}

func (r *Release) checkRoutes(pools map[fleet.PoolID]bool) error {
	type routeMatch struct{ host, prefix string }
	routeNames := make(map[routeMatch]string)
	for _, t := range r.Routes {
		match := routeMatch{t.Host, t.Prefix}
		if other, ok := routeNames[match]; ok {
			return refusal.New(refusal.BadRequest, "routes %q and %q share host and prefix", other, t.Name)
		}
		routeNames[match] = t.Name
		if t.Timeout <= 0 {
			return refusal.New(refusal.BadRequest, "route %q has no timeout", t.Name)
		}
		total := 0
		for _, s := range t.Split {
			if !pools[s.Pool] {
				return refusal.New(refusal.BadRequest, "route %q names the unknown service %q", t.Name, s.Pool)
			}
			if s.Weight < 0 {
				return refusal.New(refusal.BadRequest, "route %q has a negative weight", t.Name)
			}
			total += s.Weight
		}
		if total == 0 {
			return refusal.New(refusal.BadRequest, "the weights of route %q add up to 0", t.Name)
		}
	}
	return nil
}
