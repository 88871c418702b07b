package standin

import (
	"encoding/json"
	"io"
	"sync"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// Run is one line of the record file: something that a stand-in ran.
type Run struct {
	// What is "step", "import", "call" or "command", or "late" for new work that
	// came after the leave grace and was refused.
	What     string           `json:"what"`
	Upstream fleet.UpstreamID `json:"upstream"`

	// Request, Epoch, Position and Layers belong to a step or an import. A step
	// covers Count positions from Position on, of which Cached came out of the
	// prefix cache.
	Request  fleet.RequestID     `json:"request,omitempty"`
	Epoch    fleet.Epoch         `json:"epoch,omitempty"`
	Position fleet.Position      `json:"position"`
	Count    int                 `json:"count,omitempty"`
	Cached   int                 `json:"cached,omitempty"`
	Layers   upstream.LayerRange `json:"layers"`

	// Method, Path, Key and Digest belong to a call. Key is the value of the
	// Idempotency-Key header, Digest the SHA-256 of the body in hexadecimal.
	// Once marks a path that may not be repeated.
	Method string `json:"method,omitempty"`
	Path   string `json:"path,omitempty"`
	Key    string `json:"key,omitempty"`
	Digest string `json:"digest,omitempty"`
	Once   bool   `json:"once,omitempty"`

	// Command and Fence belong to a command.
	Command string             `json:"command,omitempty"`
	Fence   fleet.FencingToken `json:"fence,omitempty"`
}

// Recorder appends runs to a writer as JSON lines. It is safe for concurrent
// use. A nil Recorder drops them.
type Recorder struct {
	mu      sync.Mutex
	encoder *json.Encoder
}

// NewRecorder returns a Recorder that writes to w.
func NewRecorder(w io.Writer) *Recorder {
	return &Recorder{encoder: json.NewEncoder(w)}
}

// late records new work that was refused because it came too late.
func (r *Recorder) late(id fleet.UpstreamID) {
	r.add(Run{What: "late", Upstream: id})
}

func (r *Recorder) add(run Run) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	// A failed write loses the line: tests that count lines notice it.
	_ = r.encoder.Encode(run)
}
