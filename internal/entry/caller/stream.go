package caller

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/pipeline"
)

// brokenStreamError is the error of a stream that failed after its first event. The
// caller has received an error event or has disconnected.
type brokenStreamError struct{ cause error }

func (b *brokenStreamError) Error() string { return "the stream broke: " + b.cause.Error() }
func (b *brokenStreamError) Unwrap() error { return b.cause }

// serveUnary runs a generation to its end and responds with one JSON object.
func (a *API) serveUnary(w http.ResponseWriter, r *http.Request, g pipeline.GenerationRequest, meta responseMeta, format responseFormat) error {
	var text strings.Builder
	count := 0
	reason, err := a.deps.Executor.Run(r.Context(), g, func(tok pipeline.Token) error {
		count++
		text.WriteString(tok.Text)
		return nil
	})
	if err != nil {
		return generationError(r.Context(), err)
	}
	writeJSON(w, http.StatusOK, format.response(meta, text.String(), reason.String(), newUsage(g, count)))
	return nil
}

// serveStream runs a generation and sends one server-sent event per token. The
// status is sent with the first token, so that an error before it results in an
// ordinary error response.
func (a *API) serveStream(w http.ResponseWriter, r *http.Request, g pipeline.GenerationRequest, meta responseMeta, format responseFormat, withUsage bool) error {
	s := &eventWriter{w: w, controller: http.NewResponseController(w)}
	count := 0
	reason, err := a.deps.Executor.Run(r.Context(), g, func(tok pipeline.Token) error {
		count++
		return s.send(format.chunk(meta, tok.Text, count == 1))
	})
	if err != nil {
		return a.abortStream(s, r, meta, generationError(r.Context(), err))
	}
	if err := s.send(format.finalChunk(meta, reason.String())); err != nil {
		return &brokenStreamError{cause: err}
	}
	if withUsage {
		if err := s.send(format.usageChunk(meta, newUsage(g, count))); err != nil {
			return &brokenStreamError{cause: err}
		}
	}
	if err := s.sendRaw("[DONE]"); err != nil {
		return &brokenStreamError{cause: err}
	}
	return nil
}

// abortStream sends an event that reports that the stream is incomplete. Before the
// first event it returns err instead, for which the caller then gets an error
// response.
func (a *API) abortStream(s *eventWriter, r *http.Request, meta responseMeta, err error) error {
	if !s.started {
		return err
	}
	streamErr := refusal.WithCause(refusal.StreamBroken, err, "the stream broke before its end: %s", publicMessage(a.asDeadlineError(r, err)))
	// The caller may have disconnected already.
	_ = s.send(newErrorBody(&request{id: meta.id}, streamErr))
	return &brokenStreamError{cause: err}
}

// eventWriter writes server-sent events.
type eventWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	started    bool
	// buffer holds the event that is being written; its memory is reused.
	buffer bytes.Buffer
}

const eventPrefix = "data: "

// send sends one event. The encoder writes the first of the two newlines that end
// an event.
func (s *eventWriter) send(event any) error {
	s.buffer.Reset()
	s.buffer.WriteString(eventPrefix)
	if err := json.NewEncoder(&s.buffer).Encode(event); err != nil {
		return errors.Wrap(err, "encode event")
	}
	s.buffer.WriteByte('\n')
	return s.flush()
}

func (s *eventWriter) sendRaw(data string) error {
	s.buffer.Reset()
	s.buffer.WriteString(eventPrefix + data + "\n\n")
	return s.flush()
}

// flush writes the event in the buffer to the connection. It fails if the caller
// does not read within the write timeout of the listener.
func (s *eventWriter) flush() error {
	if !s.started {
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-store")
		s.started = true
	}
	if _, err := s.w.Write(s.buffer.Bytes()); err != nil {
		return errors.Wrap(err, "write event")
	}
	return errors.Wrap(s.controller.Flush(), "flush event")
}
