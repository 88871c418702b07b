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
	"github.com/bilberryrock/bilberryrock/internal/upstream/buffer"
	"github.com/bilberryrock/bilberryrock/internal/upstream/head"
)

// response is a whole response. Its memory must be released.
type response struct {
	status int
	header http.Header
	body   []byte
	memory *buffer.Charge
}

// send sends one request and returns the response, with a body of at most limit bytes. The
// transport never retries a request that may have been written.
func (p *pool) send(ctx context.Context, method, path string, header http.Header, body []byte, limit int64) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, p.dialer.callTimeout)
	defer cancel()
	memory := p.dialer.budget.Open(cancel)
	r, err := p.roundTrip(ctx, method, path, header, body, limit, memory)
	if err != nil {
		memory.Release()
	}
	return r, err
}

// roundTrip is send with the charge for the memory of the response.
func (p *pool) roundTrip(ctx context.Context, method, path string, header http.Header, body []byte, limit int64, memory *buffer.Charge) (response, error) {
	connected, reused := false, false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			connected, reused = true, i.Reused
			i.Conn.(*checkedConn).expectHead(memory.Add)
		},
	})
	id := string(fleet.NewRequestID())
	request, err := p.newRequest(ctx, method, path, header, body, id)
	if err != nil {
		return response{}, err
	}
	r, err := p.transport.RoundTrip(request)
	if err != nil {
		p.dialer.monitor.Record(p.id, p.address, err)
		return response{}, p.transportError(ctx, memory.Err(err), connected)
	}
	defer r.Body.Close()
	if err := p.checkCallID(r, id, reused); err != nil {
		return response{}, err
	}
	data, err := buffer.ReadAll(io.LimitReader(r.Body, limit+1), memory)
	if err == nil {
		err = memory.OnAbort(func() {}) // the response is complete
	}
	if err == nil {
		err = head.CheckTrailer(r.Trailer)
		p.dialer.monitor.Record(p.id, p.address, err)
	}
	if err != nil {
		return response{}, p.transportError(ctx, err, true)
	}
	if int64(len(data)) > limit {
		return response{}, refusal.New(refusal.UpstreamFailed, "answer of upstream at %s is larger than %d bytes", p.address, limit)
	}
	return response{status: r.StatusCode, header: r.Header, body: data, memory: memory}, nil
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
// response body has at most limit bytes, each of which takes up to cost bytes of memory once
// it is decoded.
func (p *pool) callJSON(ctx context.Context, method, path string, in, out any, limit, cost int64) error {
	var body []byte
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			return refusal.WithCause(refusal.Internal, err, "encode %s %s", method, path)
		}
		body = encoded
	}
	r, err := p.send(ctx, method, path, jsonHeader, body, min(limit, p.dialer.maxResponseBytes))
	if err != nil {
		return err
	}
	defer r.memory.Release()
	if r.status != http.StatusOK {
		return p.responseError(r.status, r.body)
	}
	if out == nil {
		return nil
	}
	if err := r.memory.Add(int64(len(r.body)) * cost); err != nil {
		return refusal.WithCause(refusal.UpstreamFailed, err, "answer of engine at %s", p.address)
	}
	if err := json.Unmarshal(r.body, out); err != nil {
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
