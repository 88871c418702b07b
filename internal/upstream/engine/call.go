package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"

	"github.com/pkg/errors"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/excerpt"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// send sends one request and returns the whole answer, of at most limit bytes. The
// transport never repeats a request that may have been written.
func (p *pool) send(ctx context.Context, method, path string, header http.Header, body []byte, limit int64) (int, http.Header, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, p.dialer.callTimeout)
	defer cancel()
	connected, reused := false, false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) { connected, reused = true, i.Reused },
	})
	id := string(fleet.NewRequestID())
	request, err := p.request(ctx, method, path, header, body, id)
	if err != nil {
		return 0, nil, nil, err
	}
	response, err := p.transport.RoundTrip(request)
	if err != nil {
		return 0, nil, nil, p.failure(ctx, err, connected)
	}
	defer response.Body.Close()
	if err := p.checkOwn(response, id, reused); err != nil {
		return 0, nil, nil, err
	}
	answer, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return 0, nil, nil, p.failure(ctx, err, true)
	}
	if int64(len(answer)) > limit {
		return 0, nil, nil, refusal.New(refusal.UpstreamFailed, "answer of upstream at %s is larger than %d bytes", p.address, limit)
	}
	return response.StatusCode, response.Header, answer, nil
}

// checkOwn returns an error if the answer is not the one to the call with an id. Its
// connection is closed then, since the body is not read.
func (p *pool) checkOwn(r *http.Response, id string, reused bool) error {
	got := r.Header.Get(upstream.CallHeader)
	r.Header.Del(upstream.CallHeader)
	if got == id || got == "" && !reused {
		p.echoes.Store(got == id)
		return nil
	}
	p.echoes.Store(false)
	p.transport.CloseIdleConnections()
	return refusal.New(refusal.UpstreamFailed, "upstream at %s sent an answer to another call", p.address)
}

// request builds the request. The transport would repeat a request with a method
// or an Idempotency-Key header that marks it as idempotent after a lost
// connection, so the body is given without a way to read it again.
func (p *pool) request(ctx context.Context, method, path string, header http.Header, body []byte, id string) (*http.Request, error) {
	target, err := url.ParseRequestURI(path)
	if err != nil {
		return nil, refusal.Because(refusal.BadRequest, err, "path %q of a call", path)
	}
	target.Scheme = "http"
	target.Host = p.address
	request, err := http.NewRequestWithContext(ctx, method, target.String(), io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, refusal.Because(refusal.BadRequest, err, "call %s %q", method, path)
	}
	if header != nil {
		request.Header = header.Clone()
	}
	request.Header.Set(upstream.CallHeader, id)
	request.Close = !p.echoes.Load()
	request.ContentLength = int64(len(body))
	return request, nil
}

// failure gives err its kind. Without a connection nothing was sent.
func (p *pool) failure(ctx context.Context, err error, connected bool) error {
	err = excerpt.Error(err)
	if !connected {
		return refusal.Because(refusal.NoUpstream, err, "connect to upstream at %s", p.address)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refusal.Because(refusal.Deadline, err, "upstream at %s did not answer in time", p.address)
	}
	return refusal.Because(refusal.UpstreamFailed, err, "call of upstream at %s", p.address)
}

// exchange sends in as JSON and decodes the answer into out. Either may be nil. The
// answer has at most limit bytes.
func (p *pool) exchange(ctx context.Context, method, path string, in, out any, limit int64) error {
	var body []byte
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			return refusal.Because(refusal.Internal, err, "encode %s %s", method, path)
		}
		body = encoded
	}
	status, _, answer, err := p.send(ctx, method, path, jsonHeader, body, min(limit, p.dialer.maxAnswer))
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return p.refused(status, answer)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(answer, out); err != nil {
		return refusal.Because(refusal.UpstreamFailed, excerpt.Error(err), "answer of engine at %s", p.address)
	}
	return nil
}

var jsonHeader = http.Header{"Content-Type": {"application/json"}}

// errorBody is the body of an answer other than 200 of an engine.
type errorBody struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
}

// refused gives an answer other than 200 its kind.
func (p *pool) refused(status int, answer []byte) error {
	var body errorBody
	// An answer that is not the error body of the protocol has an empty code.
	_ = json.Unmarshal(answer, &body)
	return refusal.New(kindOf(status, body.Error.Code), "engine at %s answered %d %s: %s",
		p.address, status, excerpt.Text(body.Error.Code), excerpt.Text(body.Error.Message))
}

func kindOf(status int, code string) refusal.Kind {
	switch {
	case status == http.StatusBadRequest:
		return refusal.BadRequest
	case status == http.StatusUnauthorized, status == http.StatusForbidden:
		return refusal.Forbidden
	case status == http.StatusNotFound:
		return refusal.NotFound
	case status == http.StatusConflict:
		return refusal.Conflict
	case status == http.StatusRequestEntityTooLarge:
		return refusal.TooLarge
	case status == http.StatusServiceUnavailable && code == "overloaded":
		return refusal.Overloaded
	case status == http.StatusServiceUnavailable && code == "stopping":
		return refusal.Stopping
	default:
		return refusal.UpstreamFailed
	}
}
