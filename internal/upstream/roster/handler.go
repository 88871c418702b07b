package roster

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// maxBodyBytes bounds the body of an announcement. Each name has at most 64 bytes, so
// a valid announcement is far smaller.
const maxBodyBytes = 8 << 10

// Handler answers POST /v1/announcements with 204, or with an error as
// {"error":{"code":...,"message":...}}.
type Handler struct {
	roster        *Roster
	clock         fleet.Clock
	token         [sha256.Size]byte
	tokenRequired bool
}

// HandlerOption changes a setting of a Handler.
type HandlerOption func(*Handler)

// WithToken makes the handler reject requests without the header
// "Authorization: Bearer <token>". With an empty token every request is accepted.
func WithToken(token string) HandlerOption {
	return func(h *Handler) {
		h.token = sha256.Sum256([]byte(token))
		h.tokenRequired = token != ""
	}
}

// NewHandler returns a Handler that records announcements in r.
func NewHandler(r *Roster, clock fleet.Clock, options ...HandlerOption) *Handler {
	h := &Handler{roster: r, clock: clock}
	for _, o := range options {
		o(h)
	}
	return h
}

// ServeHTTP records one announcement.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if err := h.serve(w, r); err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request) error {
	if !h.authorized(r) {
		return refusal.New(refusal.Unauthenticated, "the announcement needs the token of this fleet")
	}
	a, err := decode(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return err
	}
	return h.roster.Announce(a, h.clock.Now())
}

// authorized compares digests, so that its running time reveals neither the content
// nor the length of the token.
func (h *Handler) authorized(r *http.Request) bool {
	if !h.tokenRequired {
		return true
	}
	given, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	digest := sha256.Sum256([]byte(given))
	return subtle.ConstantTimeCompare(digest[:], h.token[:]) == 1 && found
}

func decode(body io.Reader) (upstream.Announcement, error) {
	var a upstream.Announcement
	d := json.NewDecoder(body)
	d.DisallowUnknownFields()
	if err := d.Decode(&a); err != nil {
		return a, bodyError(err)
	}
	if _, err := d.Token(); err != io.EOF {
		return a, refusal.New(refusal.BadRequest, "the body holds more than one announcement")
	}
	return a, nil
}

func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refusal.New(refusal.TooLarge, "the announcement is larger than %d bytes", tooLarge.Limit)
	}
	return refusal.WithCause(refusal.BadRequest, err, "the announcement can't be read")
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

func writeError(w http.ResponseWriter, err error) {
	answer := refusal.KindOf(err).Response()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(answer.Status)
	// If the write fails, the upstream has disconnected; it will announce itself again.
	_ = json.NewEncoder(w).Encode(errorBody{Error: errorDetail{Code: answer.Code, Message: err.Error()}})
}
