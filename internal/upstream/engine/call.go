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
	"github.com/bilberryrock/bilberryrock/internal/upstream/head"
)

// send sends one request and returns the status, header and body of the response,
// with a body of at most limit bytes. The transport never retries a request that may
// have been written.
func (p *pool) send(ctx context.Context, method, path string, header http.Header, body []byte, limit int64) (int, http.Header, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, p.dialer.callTimeout)
	defer cancel()
	connected, reused := false, false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			connected, reused = true, i.Reused
			i.Conn.(*checkedConn).expectHead()
		},
	})
	id := string(fleet.NewRequestID())
	request, err := p.newRequest(ctx, method, path, header, body, id)
	if err != nil {
		return 0, nil, nil, err
	}
	response, err := p.transport.RoundTrip(request)
	if err != nil {
		p.dialer.monitor.Record(p.id, p.address, err)
		return 0, nil, nil, p.transportError(ctx, err, connected)
	}
	defer response.Body.Close()
	if err := p.checkCallID(response, id, reused); err != nil {
		return 0, nil, nil, err
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err == nil {
		err = head.CheckTrailer(response.Trailer)
		p.dialer.monitor.Record(p.id, p.address, err)
	}
	if err != nil {
		return 0, nil, nil, p.transportError(ctx, err, true)
	}
	if int64(len(data)) > limit {
		return 0, nil, nil, refusal.New(refusal.UpstreamFailed, "answer of upstream at %s is larger than %d bytes", p.address, limit)
	}
	return response.StatusCode, response.Header, data, nil
}

// checkCallID returns an error if the response does not belong to the call with the
// given id. Its connection is closed in that case, because the body is not read.
func (p *pool) checkCallID(r *http.Response, id string, reused bool) error {
	got := r.Header.Get(upstream.CallIDHeader)
	r.Header.Del(upstream.CallIDHeader)
	if got == id || got == "" && !reused {
		p.echoesCallID.Store(got == id)
		return nil
	}
	p.echoesCallID.Store(false)
	p.transport.CloseIdleConnections()
	return refusal.New(refusal.UpstreamFailed, "upstream at %s sent an answer to another call", p.address)
}

// newRequest builds the request. After a lost connection the transport would retry a
// request whose method or Idempotency-Key header marks it as idempotent, so the body
// is passed without a way to read it again.
func (p *pool) newRequest(ctx context.Context, method, path string, header http.Header, body []byte, id string) (*http.Request, error) {
	target, err := url.ParseRequestURI(path)
	if err != nil {
		return nil, refusal.WithCause(refusal.BadRequest, err, "path %q of a call", path)
	}
	target.Scheme = "http"
	target.Host = p.address
	request, err := http.NewRequestWithContext(ctx, method, target.String(), io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, refusal.WithCause(refusal.BadRequest, err, "call %s %q", method, path)
	}
	if header != nil {
		request.Header = header.Clone()
	}
	request.Header.Set(upstream.CallIDHeader, id)
	request.Close = !p.echoesCallID.Load()
	request.ContentLength = int64(len(body))
	return request, nil
}

// transportError adds the kind to an error of the transport. If no connection was
// obtained, nothing was sent.
func (p *pool) transportError(ctx context.Context, err error, connected bool) error {
	err = excerpt.Error(err)
	if !connected {
		return refusal.WithCause(refusal.NoUpstream, err, "connect to upstream at %s", p.address)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refusal.WithCause(refusal.Deadline, err, "upstream at %s did not answer in time", p.address)
	}
	return refusal.WithCause(refusal.UpstreamFailed, err, "call of upstream at %s", p.address)
}

// callJSON sends in as JSON and decodes the response into out. Either may be nil. The
// response body has at most limit bytes.
func (p *pool) callJSON(ctx context.Context, method, path string, in, out any, limit int64) error {
	var body []byte
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			return refusal.WithCause(refusal.Internal, err, "encode %s %s", method, path)
		}
		body = encoded
	}
	status, _, data, err := p.send(ctx, method, path, jsonHeader, body, min(limit, p.dialer.maxResponseBytes))
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return p.responseError(status, data)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return refusal.WithCause(refusal.UpstreamFailed, excerpt.Error(err), "answer of engine at %s", p.address)
	}
	return nil
}

var jsonHeader = http.Header{"Content-Type": {"application/json"}}

// errorBody is the body of an engine's response with a status other than 200.
type errorBody struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
}

// responseError returns the error for a response with a status other than 200.
func (p *pool) responseError(status int, data []byte) error {
	var body errorBody
	// If the body is not an error body of the protocol, the code is empty.
	_ = json.Unmarshal(data, &body)
	return refusal.New(errorKind(status, body.Error.Code), "engine at %s answered %d %s: %s",
		p.address, status, excerpt.Text(body.Error.Code), excerpt.Text(body.Error.Message))
}

func errorKind(status int, code string) refusal.Kind {
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
