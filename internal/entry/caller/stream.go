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

// brokenStream is the error of a stream that ended after its first event. The
// caller was told by an event, or is gone.
type brokenStream struct{ cause error }

func (b *brokenStream) Error() string { return "the stream broke: " + b.cause.Error() }
func (b *brokenStream) Unwrap() error { return b.cause }

// whole runs a generation to its end and answers with one JSON object.
func (a *API) whole(w http.ResponseWriter, r *http.Request, g pipeline.Generation, head answerHead, shape answerShape) error {
	var text strings.Builder
	count := 0
	reason, err := a.parts.Courier.Run(r.Context(), g, func(p pipeline.Piece) error {
		count++
		text.WriteString(p.Text)
		return nil
	})
	if err != nil {
		return whyEnded(r.Context(), err)
	}
	writeJSON(w, http.StatusOK, shape.whole(head, text.String(), reason.String(), newUsage(g, count)))
	return nil
}

// stream runs a generation and sends one server-sent event for each token. The
// status is sent with the first token, so that an error before it is answered
// like that of any other request.
func (a *API) stream(w http.ResponseWriter, r *http.Request, g pipeline.Generation, head answerHead, shape answerShape, withUsage bool) error {
	s := &eventStream{w: w, control: http.NewResponseController(w)}
	count := 0
	reason, err := a.parts.Courier.Run(r.Context(), g, func(p pipeline.Piece) error {
		count++
		return s.send(shape.piece(head, p.Text, count == 1))
	})
	if err != nil {
		return a.breakStream(s, r, head, whyEnded(r.Context(), err))
	}
	if err := s.send(shape.end(head, reason.String())); err != nil {
		return &brokenStream{cause: err}
	}
	if withUsage {
		if err := s.send(shape.usage(head, newUsage(g, count))); err != nil {
			return &brokenStream{cause: err}
		}
	}
	if err := s.sendRaw("[DONE]"); err != nil {
		return &brokenStream{cause: err}
	}
	return nil
}

// breakStream tells the caller that the stream is not whole. Before the first
// event it returns err, which is then answered with a status of its own.
func (a *API) breakStream(s *eventStream, r *http.Request, head answerHead, err error) error {
	if !s.started {
		return err
	}
	told := refusal.Because(refusal.StreamBroken, err, "the stream broke before its end: %s", message(a.timeUp(r, err)))
	// The caller may be gone already.
	_ = s.send(newErrorBody(&request{id: head.id}, told))
	return &brokenStream{cause: err}
}

// eventStream writes server-sent events.
type eventStream struct {
	w       http.ResponseWriter
	control *http.ResponseController
	started bool
	// buffer holds the event that is being written; its memory is used again.
	buffer bytes.Buffer
}

const eventPrefix = "data: "

// send sends one event. The encoder ends it with one of the two line breaks.
func (s *eventStream) send(event any) error {
	s.buffer.Reset()
	s.buffer.WriteString(eventPrefix)
	if err := json.NewEncoder(&s.buffer).Encode(event); err != nil {
		return errors.Wrap(err, "encode event")
	}
	s.buffer.WriteByte('\n')
	return s.flush()
}

func (s *eventStream) sendRaw(data string) error {
	s.buffer.Reset()
	s.buffer.WriteString(eventPrefix + data + "\n\n")
	return s.flush()
}

// flush writes the event in the buffer. It fails when the caller does not read
// within the write timeout of the listener.
func (s *eventStream) flush() error {
	if !s.started {
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-store")
		s.started = true
	}
	if _, err := s.w.Write(s.buffer.Bytes()); err != nil {
		return errors.Wrap(err, "write event")
	}
	return errors.Wrap(s.control.Flush(), "flush event")
}
