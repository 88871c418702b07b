package exchange

import (
	"io"

	"github.com/pkg/errors"

	"github.com/bilberryrock/bilberryrock/internal/upstream/head"
)

// trailerChecker is the body of a response. It fails at its end if the trailer is invalid.
type trailerChecker struct {
	io.ReadCloser
	exchange *Exchange
}

// checkTrailer makes the body fail if an invalid trailer follows. Only chunked bodies have
// trailers.
func (x *Exchange) checkTrailer() {
	if len(x.Response.TransferEncoding) > 0 {
		x.Response.Body = trailerChecker{ReadCloser: x.Response.Body, exchange: x}
	}
}

// Read implements io.Reader.
func (c trailerChecker) Read(b []byte) (int, error) {
	n, err := c.ReadCloser.Read(b)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	x := c.exchange
	if invalid := head.CheckTrailer(x.Response.Trailer); invalid != nil {
		x.client.monitor.Record(x.target.ID, x.target.Address, invalid)
		return n, invalid
	}
	return n, err
}
