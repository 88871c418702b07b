package standin

import (
	"encoding/json"
	"io"
	"sync"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// Run is one line of the record file: work that a stand-in ran.
type Run struct {
	// Kind is "step", "import", "call" or "command", or "late" for new work that
	// was rejected because it arrived after the leave grace period.
	Kind     string           `json:"what"`
	Upstream fleet.UpstreamID `json:"upstream"`

	// Request, Epoch, Position and Layers describe a step or an import. A step
	// covers Count positions starting at Position, of which Cached were found in
	// the prefix cache.
	Request  fleet.RequestID     `json:"request,omitempty"`
	Epoch    fleet.Epoch         `json:"epoch,omitempty"`
	Position fleet.Position      `json:"position"`
	Count    int                 `json:"count,omitempty"`
	Cached   int                 `json:"cached,omitempty"`
	Layers   upstream.LayerRange `json:"layers"`

	// Method, Path, Key and Digest describe a call. Key is the value of the
	// Idempotency-Key header, Digest the SHA-256 of the body in hexadecimal.
	// AtMostOnce marks a call on an at-most-once path, which must not be repeated.
	Method     string `json:"method,omitempty"`
	Path       string `json:"path,omitempty"`
	Key        string `json:"key,omitempty"`
	Digest     string `json:"digest,omitempty"`
	AtMostOnce bool   `json:"once,omitempty"`

	// Command and FencingToken describe a command.
	Command      string             `json:"command,omitempty"`
	FencingToken fleet.FencingToken `json:"fence,omitempty"`
}

// Recorder appends runs to a writer as JSON lines. It is safe for concurrent
// use. A nil Recorder discards them.
type Recorder struct {
	mu      sync.Mutex
	encoder *json.Encoder
}

// NewRecorder returns a Recorder that writes to w.
func NewRecorder(w io.Writer) *Recorder {
	return &Recorder{encoder: json.NewEncoder(w)}
}

// recordLate records that new work was rejected because it arrived after the
// leave grace period.
func (r *Recorder) recordLate(id fleet.UpstreamID) {
	r.add(Run{Kind: "late", Upstream: id})
}

func (r *Recorder) add(run Run) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	// A failed write loses the line, which tests that count the lines detect.
	_ = r.encoder.Encode(run)
}
