package buffer

import "io"

// bodyCost is the memory of one byte of a body that is read whole: io.ReadAll has up to two
// buffers while it grows one.
const bodyCost = 2

// ReadAll reads r to its end and charges for the memory that this takes. The error is that
// of r, or wraps ErrExhausted.
func ReadAll(r io.Reader, c *Charge) ([]byte, error) {
	b, err := io.ReadAll(chargedReader{r, c})
	return b, c.Err(err)
}

type chargedReader struct {
	io.Reader
	charge *Charge
}

// Read implements io.Reader.
func (r chargedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if exhausted := r.charge.Add(int64(n) * bodyCost); exhausted != nil {
		return n, exhausted
	}
	return n, err
}
