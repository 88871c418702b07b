// Package upstream holds the types of model engines and plain services, which
// announce themselves, and the interfaces through which the system uses them.
//
// An Announcement is renewed about once a second. An upstream gets new work only
// while its last confirmation is recent and it does not say that it leaves.
package upstream

import (
	"context"
	"net/http"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
)

// Kind tells engines and plain services apart.
type Kind int

// The kinds of upstreams.
const (
	Engine  Kind = iota // engine
	Service             // service
)

// State is what an upstream says of itself.
type State int

// The states of an upstream. Leaving is final for an incarnation.
const (
	Serving State = iota // serving
	Leaving              // leaving
)

// FencePolicy tells whether an upstream refuses commands with an old fencing
// number. The zero value is the careful one.
type FencePolicy int

// The fence policies.
const (
	// IgnoresFence also stands for unknown.
	IgnoresFence FencePolicy = iota // ignores
	RefusesOld                      // refusesOld
)

// LayerRange is the half-open range of layers [From, To) that an engine holds.
type LayerRange struct {
	From fleet.Layer `json:"from"`
	To   fleet.Layer `json:"to"`
}

// Len returns the number of layers.
func (r LayerRange) Len() int { return int(r.To - r.From) }

// Load is the load that an upstream reported. It lags behind.
type Load struct {
	// At is the time of the measurement by the clock of the receiving instance.
	At time.Time `json:"at"`
	// Running and Waiting count sequences or calls.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// FreeKV is the free KV-cache memory in tokens.
	FreeKV int `json:"freeKv"`
}

// Announcement is what an upstream says of itself.
type Announcement struct {
	ID          fleet.UpstreamID  `json:"id"`
	Incarnation fleet.Incarnation `json:"incarnation"`
	// Sequence grows with every announcement of one incarnation.
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
	// Slots is the number of sequences or calls that run at once.
	Slots int  `json:"slots"`
	Load  Load `json:"load"`
}

// Upstream is an announced upstream and when it was last confirmed.
type Upstream struct {
	Announcement
	// Confirmed is the time of the last confirmation by the clock of this
	// instance.
	Confirmed time.Time
}

// Step is the work of one stage for one or more consecutive positions of one
// request.
type Step struct {
	Request  fleet.RequestID `json:"request"`
	Epoch    fleet.Epoch     `json:"epoch"`
	Position fleet.Position  `json:"position"`
	Model    fleet.ModelID   `json:"model"`
	Version  string          `json:"version"`
	Adapter  string          `json:"adapter,omitempty"`
	Layers   LayerRange      `json:"layers"`
	Priority fleet.Priority  `json:"priority"`
	// Input has one value for each position: token ids for the first stage,
	// outputs of the stage before for the others.
	Input []uint64 `json:"input"`
}

// StepResult answers a Step. Request, Epoch and Position are those of the Step.
type StepResult struct {
	Request  fleet.RequestID `json:"request"`
	Epoch    fleet.Epoch     `json:"epoch"`
	Position fleet.Position  `json:"position"`
	// Output has one value for each position: input of the next stage, or the
	// next token id when the stage holds the last layer.
	Output []uint64 `json:"output"`
	// Token is the text of the token that follows the last position. Only the
	// last stage sets it.
	Token string `json:"token,omitempty"`
	// End tells that the model ended the answer. Only the last stage sets it.
	End bool `json:"end,omitempty"`
}

// KV is the exported KV cache of one request on one engine.
type KV struct {
	Request fleet.RequestID `json:"request"`
	Model   fleet.ModelID   `json:"model"`
	Version string          `json:"version"`
	Adapter string          `json:"adapter,omitempty"`
	Layers  LayerRange      `json:"layers"`
	// Positions is the number of positions that the cache covers, from 0 on.
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

// Command asks an engine to load something or to change its role.
type Command struct {
	ID      string        `json:"id"`
	Fence   fleet.Fence   `json:"fence"`
	Kind    CommandKind   `json:"kind"`
	Model   fleet.ModelID `json:"model"`
	Version string        `json:"version"`
	Adapter string        `json:"adapter,omitempty"`
	Layers  LayerRange    `json:"layers"`
}

// CallHeader is the header with the id of a call to an upstream, which the answer
// returns. A server may send a second copy of an answer when its connection carries
// the next call, and nothing else in HTTP/1.1 tells which call an answer belongs to.
const CallHeader = "X-Call-Id"

// EngineClient is the use of one engine. Errors have a kind of package refusal;
// refusal.NoUpstream means that the engine certainly did not get the call,
// refusal.Conflict that it refused it as out of date.
type EngineClient interface {
	// Step runs the layers of the engine for the positions of s. The engine
	// answers a repeated Step from its memory.
	Step(ctx context.Context, s Step) (StepResult, error)
	// Cancel ends a request and frees its memory.
	Cancel(ctx context.Context, r fleet.RequestID) error
	// Export returns the KV cache of a request.
	Export(ctx context.Context, r fleet.RequestID) (KV, error)
	// Import takes over a KV cache for a request under epoch e.
	Import(ctx context.Context, e fleet.Epoch, kv KV) error
	// Command hands over a command.
	Command(ctx context.Context, c Command) error
	// Describe returns what the engine says of itself now.
	Describe(ctx context.Context) (Announcement, error)
}

// Call is one call to a plain service.
type Call struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
}

// Answer is the whole answer of a plain service.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}

// ServiceClient is the use of one plain service.
type ServiceClient interface {
	// Call sends c once and returns the whole answer. An error of kind
	// refusal.NoUpstream means that not one byte was sent.
	Call(ctx context.Context, c Call) (Answer, error)
}

// Dialer gives clients for announced upstreams.
type Dialer interface {
	Engine(u Upstream) EngineClient
	Service(u Upstream) ServiceClient
}

// Roster knows the upstreams of the data centre.
type Roster interface {
	// Usable returns the upstreams of a pool that may get new work at now. The
	// result is owned by the caller.
	Usable(p fleet.PoolID, now time.Time) []Upstream
	// Get returns one upstream, whether or not it may get new work.
	Get(id fleet.UpstreamID) (Upstream, bool)
}
