// Package release defines the types of a configuration that is replaced as a whole.
// Each Release has a Version, and the highest accepted Version is active.
//
// A Decoder converts the bytes that an operator submitted to a checked Release.
// Package store keeps the accepted bytes in a replicated log, and package table looks
// up the route and the account of a request.
package release

import (
	"slices"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
)

//go:generate ../../bin/stringer -type=RouteType -linecomment -output=names_string.go

// Version orders releases. Zero stands for no release.
type Version uint64

// RouteType determines how often a request of a route may be executed.
type RouteType int

// The kinds of routes.
const (
	// AtMostOnce routes have requests that may be executed at most once.
	AtMostOnce RouteType = iota // once
	// Idempotent routes have requests that may be executed any number of times.
	Idempotent // idempotent
	// Stream routes have requests whose response is a sequence of numbered events.
	Stream // stream
)

// Release is a complete configuration.
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
	Type   RouteType
	// Timeout is the longest time that a request waits for its response.
	Timeout time.Duration
	// TargetLatency is the time within which a response should arrive to have its full value.
	TargetLatency time.Duration
	Priority      int
	Split         []Share
	// MaxAttempts limits the number of upstreams to which one request is sent.
	MaxAttempts int
	// Public routes need no account key.
	Public bool
	// Resumable streams may be continued by another upstream.
	Resumable bool
	// TargetGap is the longest pause between two events of a stream that meets its target.
	TargetGap time.Duration
}

// Share is the weight of one service of a Route.
type Share struct {
	Pool   fleet.PoolID
	Weight int
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Pool fleet.PoolID
	// MaxConnections limits the connections that one upstream accepts.
	MaxConnections int
	// Engine describes the model engines of the pool. It is nil for plain
	// services.
	Engine *Engine
}

// HasEngines reports whether requests of the service need a path of engines.
func (s *Service) HasEngines() bool { return s.Engine != nil && s.Engine.Layers > 0 }

// Differentiated reports whether a service has engines and streaming routes that differ in
// priority or target latency.
func (r *Release) Differentiated(s *Service) bool {
	if !s.HasEngines() {
		return false
	}
	var first *Route
	for i := range r.Routes {
		o := &r.Routes[i]
		if o.Type != Stream || !o.leadsTo(s.Pool) {
			continue
		}
		if first == nil {
			first = o
		}
		if o.Priority != first.Priority || o.TargetLatency != first.TargetLatency {
			return true
		}
	}
	return false
}

func (o *Route) leadsTo(p fleet.PoolID) bool {
	return slices.ContainsFunc(o.Split, func(s Share) bool { return s.Pool == p && s.Weight > 0 })
}

const (
	// MaxLayers is the largest number of layers of a model. Controllers plan with a counter
	// for each layer.
	MaxLayers = 1 << 14
	// maxWeight is the largest weight of a Share. The sum over a route must not overflow.
	maxWeight = 1 << 40
)

// Engine describes the engines of one pool and the model that they run together.
type Engine struct {
	Layers int
	// LayerMB is the size of the weights of one layer in megabytes.
	LayerMB float64
	// TokenBytes is the KV-cache memory of one token for all layers.
	TokenBytes float64
	// StepMS is the time in milliseconds that all layers take to generate one token, on
	// a card with step factor 1.
	StepMS float64
	// PrefillPerSecond is the number of prompt tokens per second that all layers process, on
	// a card with prefill factor 1.
	PrefillPerSecond float64
	// ActivationBytes is the size of the activations that one token sends to the next stage.
	ActivationBytes float64
	// LinkMbps is the data rate between two data centres in megabits per second.
	LinkMbps float64
	// MeanPromptTokens and MeanAnswerTokens are the mean lengths of prompts and answers.
	MeanPromptTokens, MeanAnswerTokens int
	// LoadSeconds is the time to load all layers in seconds.
	LoadSeconds float64
	// ConcurrentLoads is the number of concurrent loads that the weight store serves at full
	// rate.
	ConcurrentLoads int
	Cards           map[string]Card
}

// Card describes one kind of accelerator card.
type Card struct {
	MemoryMB float64
	// StepFactor multiplies StepMS. Slower cards have a higher factor.
	StepFactor float64
	// PrefillFactor divides PrefillPerSecond.
	PrefillFactor float64
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

// Decoder decodes an accepted configuration in the format of the operator. Its errors
// have the kind refusal.BadRequest and say what is invalid.
type Decoder interface {
	Decode(content []byte) (*Release, error)
}

// SubmissionDecoder decodes and checks a configuration that an operator submits. Its rules
// may become stricter from one version of the program to the next, while the Decoder must
// accept what an older version accepted, because that stays in force after an upgrade.
type SubmissionDecoder interface {
	Decoder
	DecodeSubmission(content []byte) (*Release, error)
}

// Check returns an error of kind refusal.BadRequest if the release is invalid.
func (r *Release) Check() error {
	if r.Version == 0 {
		return refusal.New(refusal.BadRequest, "version is missing")
	}
	pools := make(map[fleet.PoolID]bool)
	for _, s := range r.Services {
		pools[s.Pool] = true
		if s.Engine != nil && s.Engine.Layers > MaxLayers {
			return refusal.New(refusal.BadRequest, "the model of service %q has %d layers, the limit is %d", s.Pool, s.Engine.Layers, MaxLayers)
		}
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
			if s.Weight < 0 || s.Weight > maxWeight {
				return refusal.New(refusal.BadRequest, "route %q has the weight %d, it must be from 0 to %d", t.Name, s.Weight, maxWeight)
			}
			total += s.Weight
		}
		if total == 0 {
			return refusal.New(refusal.BadRequest, "the weights of route %q add up to 0", t.Name)
		}
	}
	return nil
}
