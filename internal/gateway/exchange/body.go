package exchange

import (
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/bilberryrock/bilberryrock/internal/upstream/head"
)

// body is the body of a response. It fails at its end if the trailer is invalid.
type body struct {
	io.ReadCloser
	exchange *Exchange
}

// wrapBody replaces the body of the response.
func (x *Exchange) wrapBody() {
	if x.Response.Body != http.NoBody {
		x.Response.Body = body{ReadCloser: x.Response.Body, exchange: x}
	}
}

// Read implements io.Reader.
func (b body) Read(p []byte) (int, error) {
	x := b.exchange
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if invalid := head.CheckTrailer(x.Response.Trailer); invalid != nil {
			x.client.monitor.Record(x.target.ID, x.target.Address, invalid)
			return n, invalid
		}
	}
	return n, x.charge.Err(err)
}
