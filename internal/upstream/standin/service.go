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

// maxCallBodyBytes is the maximum size of the body of a call.
const maxCallBodyBytes = 16 << 20

// service responds to every call and counts the calls.
type service struct {
	standin *Standin

	mu       sync.Mutex
	inFlight int
	executed int
}

// callResponse is the body of the response to a call.
type callResponse struct {
	Upstream string `json:"upstream"`
	Method   string `json:"method"`
	Path     string `json:"path"`
	Digest   string `json:"digest"`
	// Execution is the number of this call among those that the stand-in ran,
	// starting at 1.
	Execution int `json:"execution"`
}

func (s *service) serve(w http.ResponseWriter, r *http.Request) {
	s.addInFlight(1)
	defer s.addInFlight(-1)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCallBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		writeError(w, http.StatusRequestEntityTooLarge, "tooLarge", err.Error())
		return
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, "badRequest", err.Error())
		return
	}
	config := s.standin.config
	if s.standin.refusesNewRequests() {
		config.Recorder.recordLate(config.Announcement.ID)
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
		Kind: "call", Upstream: id, Method: r.Method, Path: r.URL.Path,
		Key: r.Header.Get("Idempotency-Key"), Digest: digest,
		AtMostOnce: s.isAtMostOnce(r.URL.Path),
	})
	writeJSON(w, http.StatusOK, callResponse{
		Upstream: string(id), Method: r.Method, Path: r.URL.Path,
		Digest: digest, Execution: s.nextExecution(),
	})
}

func (s *service) isAtMostOnce(path string) bool {
	for _, prefix := range s.standin.config.AtMostOncePaths {
		if strings.HasPrefix(path, prefix) {
			return true
		}
	}
	return false
}

func (s *service) addInFlight(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight += n
}

func (s *service) nextExecution() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executed++
	return s.executed
}

func (s *service) activeRequests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the client is gone, so there is nobody to report
	// the error to.
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
