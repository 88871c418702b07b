package caller

import (
	"net/http"
	"net/textproto"
	"path"
	"slices"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/bilberryrock/bilberryrock/internal/document"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/order"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// maxIdempotencyKeyBytes is the maximum length of an Idempotency-Key in bytes.
const maxIdempotencyKeyBytes = 255

// forwardedHeaders lists the headers of a caller that are forwarded to a plain
// service. The API key is not forwarded.
var forwardedHeaders = []string{"Accept", "Accept-Language", "Content-Type", "Idempotency-Key", "User-Agent"}

// forwardCall forwards a call to a plain service.
func (a *API) forwardCall(w http.ResponseWriter, r *http.Request, q *request) error {
	pool, err := findPool(r, q)
	if err != nil {
		return err
	}
	call, err := newCall(r, q)
	if err != nil {
		return err
	}
	atMostOnce := isAtMostOnce(pool, call)
	key, err := orderKey(r, q, atMostOnce)
	if err != nil {
		return err
	}
	ticket, err := a.admit(r.Context(), q, pool.ID)
	if err != nil {
		return err
	}
	defer ticket.Done()
	var response upstream.Response
	if atMostOnce {
		q.ledgerQueried = true
		response, err = a.deps.Orders.Order(r.Context(), q.id, key, pool, call)
	} else {
		response, err = a.deps.Lookups.Lookup(r.Context(), q.id, pool, call)
	}
	if err != nil {
		return err
	}
	return a.writeResponse(w, response)
}

func findPool(r *http.Request, q *request) (document.Pool, error) {
	id := fleet.PoolID(chi.URLParam(r, "pool"))
	pool, known := q.config.Pools[id]
	if !known || pool.Team != q.account.Team || pool.Kind != document.ServicePool {
		return pool, refusal.New(refusal.NotFound, "service %q does not exist", id)
	}
	return pool, nil
}

// newCall builds the call to the upstream. It refuses paths that a service could
// interpret differently from the router, because the path decides whether the
// call may be repeated.
func newCall(r *http.Request, q *request) (upstream.Call, error) {
	servicePath := "/" + chi.URLParam(r, "*")
	if r.URL.RawPath != "" || strings.ContainsAny(servicePath, "\\;") || path.Clean(servicePath) != strings.TrimSuffix(servicePath, "/") && servicePath != "/" {
		return upstream.Call{}, refusal.New(refusal.BadRequest, "path %q is ambiguous", r.URL.EscapedPath())
	}
	if r.URL.RawQuery != "" {
		servicePath += "?" + r.URL.RawQuery
	}
	header := make(http.Header)
	for _, name := range forwardedHeaders {
		if values := r.Header.Values(name); len(values) > 0 {
			header[textproto.CanonicalMIMEHeaderKey(name)] = values
		}
	}
	header.Set("X-Request-Id", string(q.id))
	return upstream.Call{Method: r.Method, Path: servicePath, Header: header, Body: q.body}, nil
}

// isAtMostOnce reports whether a call must be run at most once. The comparison of
// paths ignores case, because some services ignore it.
func isAtMostOnce(p document.Pool, c upstream.Call) bool {
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

func orderKey(r *http.Request, q *request, atMostOnce bool) (order.Key, error) {
	if !atMostOnce {
		return order.Key{}, nil
	}
	name := r.Header.Get("Idempotency-Key")
	if name == "" {
		return order.Key{}, refusal.New(refusal.BadRequest, "this call may not be repeated and needs the header Idempotency-Key")
	}
	if len(name) > maxIdempotencyKeyBytes {
		return order.Key{}, refusal.New(refusal.BadRequest, "the header Idempotency-Key is longer than %d bytes", maxIdempotencyKeyBytes)
	}
	return order.Key{Account: q.account.ID, Name: name}, nil
}

// excludedResponseHeaders lists the response headers that are not forwarded to the
// caller: hop-by-hop headers (RFC 9110, section 7.6.1), Content-Length, and
// X-Request-Id, which the daemon sets itself.
var excludedResponseHeaders = []string{
	"Connection", "Content-Length", "Keep-Alive", "Proxy-Authenticate", "Te",
	"Trailer", "Transfer-Encoding", "Upgrade", "X-Request-Id",
}

// writeResponse writes the response of a service. If its memory is needed meanwhile, the
// connection of the caller is closed.
func (a *API) writeResponse(w http.ResponseWriter, response upstream.Response) error {
	controller := http.NewResponseController(w)
	memory := a.budget.Open(func() { _ = controller.SetWriteDeadline(time.Now()) })
	defer memory.Release()
	if err := memory.Add(int64(len(response.Body))); err != nil {
		return refusal.WithCause(refusal.UpstreamFailed, err, "the call ran, its response could not be kept")
	}
	header := w.Header()
	for name, values := range response.Header {
		if !slices.Contains(excludedResponseHeaders, textproto.CanonicalMIMEHeaderKey(name)) {
			header[name] = values
		}
	}
	w.WriteHeader(response.Status)
	// A failure means that the caller has disconnected, so there is nobody to
	// report it to.
	_, _ = w.Write(response.Body)
	return nil
}
