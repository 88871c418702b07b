// Package upstream defines the types that describe model engines and plain
// services, and the interfaces through which the system calls them.
//
// An upstream announces itself about once a second. It gets new work only while
// its last heartbeat is recent and it has not announced that it is leaving.
package upstream

import (
	"context"
	"net/http"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
)

// Kind distinguishes model engines from plain services.
type Kind int

// The kinds of upstreams.
const (
	Engine  Kind = iota // engine
	Service             // service
)

// State is the lifecycle state that an upstream announces.
type State int

// The states of an upstream. Leaving is final for an incarnation.
const (
	Serving State = iota // serving
	Leaving              // leaving
)

// FencePolicy tells whether an upstream rejects commands with a stale fencing
// token. The zero value is the safe assumption.
type FencePolicy int

// The fence policies.
const (
	// IgnoresToken also stands for an unknown policy.
	IgnoresToken      FencePolicy = iota // ignores
	RejectsStaleToken                    // refusesOld
)

// LayerRange is the half-open range of layers [From, To) that an engine holds.
type LayerRange struct {
	From fleet.Layer `json:"from"`
	To   fleet.Layer `json:"to"`
}

// Len returns the number of layers.
func (r LayerRange) Len() int { return int(r.To - r.From) }

// Load is the load that an upstream reported. It may be out of date.
type Load struct {
	// At is the time of the measurement on the clock of the receiving instance.
	At time.Time `json:"at"`
	// Running and Waiting count sequences (engines) or calls (plain services).
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// FreeKVTokens is the free KV-cache memory in tokens.
	FreeKVTokens int `json:"freeKv"`
}

// Announcement is the description that an upstream sends of itself.
type Announcement struct {
	ID          fleet.UpstreamID  `json:"id"`
	Incarnation fleet.Incarnation `json:"incarnation"`
	// Sequence increases with every announcement of one incarnation.
	Sequence    uint64             `json:"sequence"`
	Kind        Kind               `json:"kind"`
	State       State              `json:"state"`
	Address     string             `json:"address"` // IP address and port
	DataCentre  fleet.DataCentreID `json:"dataCentre"`
	Pool        fleet.PoolID       `json:"pool"`
	Accelerator string             `json:"accelerator,omitempty"`
	Model       fleet.ModelID      `json:"model,omitempty"`
	Version     string             `json:"version,omitempty"`
	Adapter     string             `json:"adapter,omitempty"`
	Layers      LayerRange         `json:"layers"`
	Fencing     FencePolicy        `json:"fencing"`
	// Slots is the number of sequences or calls that can run concurrently.
	Slots int  `json:"slots"`
	Load  Load `json:"load"`
}

// Upstream is an announced upstream and the time of its last heartbeat.
type Upstream struct {
	Announcement
	// LastHeartbeat is the time of the last heartbeat on the clock of this
	// instance.
	LastHeartbeat time.Time
}

// Step is the work of one pipeline stage for one or more consecutive positions of
// one request.
type Step struct {
	Request  fleet.RequestID `json:"request"`
	Epoch    fleet.Epoch     `json:"epoch"`
	Position fleet.Position  `json:"position"`
	Model    fleet.ModelID   `json:"model"`
	Version  string          `json:"version"`
	Adapter  string          `json:"adapter,omitempty"`
	Layers   LayerRange      `json:"layers"`
	Priority fleet.Priority  `json:"priority"`
	// Input has one value for each position: token ids for the first stage, and
	// the outputs of the previous stage for the others.
	Input []uint64 `json:"input"`
}

// StepResult is the result of a Step. Request, Epoch and Position are those of the
// Step.
type StepResult struct {
	Request  fleet.RequestID `json:"request"`
	Epoch    fleet.Epoch     `json:"epoch"`
	Position fleet.Position  `json:"position"`
	// Output has one value for each position: the input of the next stage, or the
	// next token id if the stage holds the last layer.
	Output []uint64 `json:"output"`
	// Token is the text of the token that follows the last position. Only the
	// last stage sets it.
	Token string `json:"token,omitempty"`
	// End tells that the model finished its output. Only the last stage sets it.
	End bool `json:"end,omitempty"`
}

// KVCache is the exported KV cache of one request on one engine.
type KVCache struct {
	Request fleet.RequestID `json:"request"`
	Model   fleet.ModelID   `json:"model"`
	Version string          `json:"version"`
	Adapter string          `json:"adapter,omitempty"`
	Layers  LayerRange      `json:"layers"`
	// Positions is the number of positions that the cache covers, starting at 0.
	Positions fleet.Position `json:"positions"`
	Data      []byte         `json:"data"`
}

// CommandKind is the kind of a command to an engine.
type CommandKind int

// The kinds of commands.
const (
	LoadModel  CommandKind = iota // loadModel
	ChangeRole                    // changeRole
)

// Command asks an engine to load a model or to change its role.
type Command struct {
	ID      string             `json:"id"`
	Fence   fleet.FencingToken `json:"fence"`
	Kind    CommandKind        `json:"kind"`
	Model   fleet.ModelID      `json:"model"`
	Version string             `json:"version"`
	Adapter string             `json:"adapter,omitempty"`
	Layers  LayerRange         `json:"layers"`
}

// CallIDHeader is the header with the id of a call to an upstream, which the
// upstream echoes in its response. A server may send a duplicate of a response while
// its connection already carries the next call, and nothing else in HTTP/1.1 tells
// which call a response belongs to.
const CallIDHeader = "X-Call-Id"

// EngineClient calls one engine. Errors have a kind of package refusal;
// refusal.NoUpstream means that the engine certainly did not receive the call, and
// refusal.Conflict that it rejected the call as out of date.
type EngineClient interface {
	// Step runs the layers of the engine for the positions of s. The engine
	// answers a repeated Step with the stored result.
	Step(ctx context.Context, s Step) (StepResult, error)
	// Cancel cancels a request and frees its memory.
	Cancel(ctx context.Context, r fleet.RequestID) error
	// Export returns the KV cache of a request.
	Export(ctx context.Context, r fleet.RequestID) (KVCache, error)
	// Import loads the KV cache of a request under epoch e.
	Import(ctx context.Context, e fleet.Epoch, kv KVCache) error
	// Command sends a command to the engine.
	Command(ctx context.Context, c Command) error
	// Describe returns the current description of the engine.
	Describe(ctx context.Context) (Announcement, error)
}

// Call is one call to a plain service.
type Call struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
}

// Response is the whole response of a plain service.
type Response struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}

// ServiceClient calls one plain service.
type ServiceClient interface {
	// Call sends c once and returns the whole response. An error of kind
	// refusal.NoUpstream means that no byte of the call was sent.
	Call(ctx context.Context, c Call) (Response, error)
}

// Dialer returns clients of announced upstreams.
type Dialer interface {
	Engine(u Upstream) EngineClient
	Service(u Upstream) ServiceClient
}

// Roster is the list of the upstreams of the data centre.
type Roster interface {
	// Usable returns the upstreams of a pool that may get new work at now. The
	// caller owns the result.
	Usable(p fleet.PoolID, now time.Time) []Upstream
	// Get returns one upstream, whether or not it may get new work.
	Get(id fleet.UpstreamID) (Upstream, bool)
}
