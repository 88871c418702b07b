package caller

import (
	"net/http"
	"net/textproto"
	"path"
	"slices"
	"strings"

	"github.com/go-chi/chi/v5"

	"github.com/bilberryrock/bilberryrock/internal/document"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/order"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// maxKeyLength is the greatest length of an Idempotency-Key in bytes.
const maxKeyLength = 255

// forwarded are the headers of a caller that reach a plain service. The API key
// does not.
var forwarded = []string{"Accept", "Accept-Language", "Content-Type", "Idempotency-Key", "User-Agent"}

// service passes a call on to a plain service.
func (a *API) service(w http.ResponseWriter, r *http.Request, q *request) error {
	pool, err := findPool(r, q)
	if err != nil {
		return err
	}
	call, err := newCall(r, q)
	if err != nil {
		return err
	}
	once := isOnce(pool, call)
	key, err := orderKey(r, q, once)
	if err != nil {
		return err
	}
	ticket, err := a.enter(r.Context(), q, pool.ID)
	if err != nil {
		return err
	}
	defer ticket.Done()
	var answer upstream.Response
	if once {
		q.ledgerAsked = true
		answer, err = a.parts.Orders.Order(r.Context(), q.id, key, pool, call)
	} else {
		answer, err = a.parts.Lookups.Lookup(r.Context(), q.id, pool, call)
	}
	if err != nil {
		return err
	}
	return passOn(w, answer)
}

func findPool(r *http.Request, q *request) (document.Pool, error) {
	id := fleet.PoolID(chi.URLParam(r, "pool"))
	pool, known := q.config.Pools[id]
	if !known || pool.Team != q.account.Team || pool.Kind != document.ServicePool {
		return pool, refusal.New(refusal.NotFound, "service %q does not exist", id)
	}
	return pool, nil
}

// newCall builds the call to the upstream. Paths that a service could read as
// another path than the router did are refused, since the path decides whether
// the call may be repeated.
func newCall(r *http.Request, q *request) (upstream.Call, error) {
	rest := "/" + chi.URLParam(r, "*")
	if r.URL.RawPath != "" || strings.ContainsAny(rest, "\\;") || path.Clean(rest) != strings.TrimSuffix(rest, "/") && rest != "/" {
		return upstream.Call{}, refusal.New(refusal.BadRequest, "path %q is ambiguous", r.URL.EscapedPath())
	}
	if r.URL.RawQuery != "" {
		rest += "?" + r.URL.RawQuery
	}
	header := make(http.Header)
	for _, name := range forwarded {
		if values := r.Header.Values(name); len(values) > 0 {
			header[textproto.CanonicalMIMEHeaderKey(name)] = values
		}
	}
	header.Set("X-Request-Id", string(q.id))
	return upstream.Call{Method: r.Method, Path: rest, Header: header, Body: q.body}, nil
}

// isOnce tells whether a call may not be repeated. Letter case is ignored,
// because some services ignore it.
func isOnce(p document.Pool, c upstream.Call) bool {
	switch c.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return false
	}
	for _, prefix := range p.AtMostOncePaths {
		if strings.HasPrefix(strings.ToLower(c.Path), strings.ToLower(prefix)) {
			return true
		}
	}
	return false
}

func orderKey(r *http.Request, q *request, once bool) (order.Key, error) {
	if !once {
		return order.Key{}, nil
	}
	name := r.Header.Get("Idempotency-Key")
	if name == "" {
		return order.Key{}, refusal.New(refusal.BadRequest, "this call may not be repeated and needs the header Idempotency-Key")
	}
	if len(name) > maxKeyLength {
		return order.Key{}, refusal.New(refusal.BadRequest, "the header Idempotency-Key is longer than %d bytes", maxKeyLength)
	}
	return order.Key{Account: q.account.ID, Name: name}, nil
}

// hopByHop are the headers of an answer that are not passed on (RFC 9110, 7.6.1),
// and the request id, which is the daemon's own.
var hopByHop = []string{
	"Connection", "Content-Length", "Keep-Alive", "Proxy-Authenticate", "Te",
	"Trailer", "Transfer-Encoding", "Upgrade", "X-Request-Id",
}

func passOn(w http.ResponseWriter, answer upstream.Response) error {
	header := w.Header()
	for name, values := range answer.Header {
		if !slices.Contains(hopByHop, textproto.CanonicalMIMEHeaderKey(name)) {
			header[name] = values
		}
	}
	w.WriteHeader(answer.Status)
	// The caller went away if this fails, and nobody is left to tell.
	_, _ = w.Write(answer.Body)
	return nil
}
