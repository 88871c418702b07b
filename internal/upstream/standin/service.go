package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/pkg/errors"
)

// maxCallBody bounds the body of a call in bytes.
const maxCallBody = 16 << 20

// service answers every call and counts it.
type service struct {
	standin *Standin

	mu       sync.Mutex
	inFlight int
	executed int
}

// callAnswer is the body of the answer to a call.
type callAnswer struct {
	Upstream string `json:"upstream"`
	Method   string `json:"method"`
	Path     string `json:"path"`
	Digest   string `json:"digest"`
	// Execution counts the calls that this stand-in ran, starting at 1.
	Execution int `json:"execution"`
}

func (s *service) serve(w http.ResponseWriter, r *http.Request) {
	s.enter(1)
	defer s.enter(-1)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCallBody))
	var long *http.MaxBytesError
	if errors.As(err, &long) {
		writeError(w, http.StatusRequestEntityTooLarge, "tooLarge", err.Error())
		return
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, "badRequest", err.Error())
		return
	}
	config := s.standin.config
	if s.standin.refusesNew() {
		config.Recorder.late(config.Announcement.ID)
		writeError(w, http.StatusServiceUnavailable, "stopping", "service is leaving")
		return
	}
	if config.CallTime > 0 {
		<-s.standin.clock.After(config.CallTime)
	}
	sum := sha256.Sum256(body)
	digest := hex.EncodeToString(sum[:])
	id := config.Announcement.ID
	config.Recorder.add(Run{
		What: "call", Upstream: id, Method: r.Method, Path: r.URL.Path,
		Key: r.Header.Get("Idempotency-Key"), Digest: digest,
		Once: s.once(r.URL.Path),
	})
	writeJSON(w, http.StatusOK, callAnswer{
		Upstream: string(id), Method: r.Method, Path: r.URL.Path,
		Digest: digest, Execution: s.count(),
	})
}

func (s *service) once(path string) bool {
	for _, prefix := range s.standin.config.OncePaths {
		if strings.HasPrefix(path, prefix) {
			return true
		}
	}
	return false
}

func (s *service) enter(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight += n
}

func (s *service) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executed++
	return s.executed
}

func (s *service) busy() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The connection is gone when the write fails; nobody is left to tell.
	_ = json.NewEncoder(w).Encode(v)
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	writeJSON(w, status, errorBody{errorDetail{code, message}})
}
