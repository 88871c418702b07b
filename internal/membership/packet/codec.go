package packet

import (
	"crypto/hmac"
	"crypto/sha256"
	"hash"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	gossipv1 "github.com/bilberryrock/bilberryrock/api/gossip/v1"
)

// MaxPacketBytes is the maximum size of a datagram in bytes.
const MaxPacketBytes = 1400

// MinSecretBytes is the minimum length of the shared secret in bytes.
const MinSecretBytes = 16

// macSize is the length of the message authentication code in bytes:
// HMAC-SHA-256 truncated to 128 bits, which RFC 2104, section 5, allows.
const macSize = sha256.Size / 2

// windowSize is the number of datagrams of one sender by which a datagram may
// be out of order and still be accepted.
const windowSize = 64

// bootRetention is the period after the last datagram of a process during which
// datagrams from earlier processes of the same instance are rejected.
const bootRetention = time.Minute

// Errors for datagrams that are rejected.
var (
	errBadMAC   = errors.New("message authentication code does not match")
	errReplayed = errors.New("datagram is a replay or too old")
)

// Codec encodes messages as authenticated datagrams and decodes them. It rejects
// replayed datagrams. It is safe for concurrent use.
type Codec struct {
	macs sync.Pool
	boot uint64

	mu            sync.Mutex
	count         uint64
	replayWindows map[string]*replayWindow
}

// replayWindow records which datagrams of one process were received: the highest
// counter and one bit for each of the 64 counters before it.
type replayWindow struct {
	boot         uint64
	highest      uint64
	seen         uint64
	lastReceived time.Time
}

// NewCodec returns a Codec for a process that started with incarnation boot. The
// secret must have at least MinSecretBytes bytes.
func NewCodec(secret []byte, boot uint64) (*Codec, error) {
	if len(secret) < MinSecretBytes {
		return nil, errors.Errorf("gossip secret has %d bytes, less than the minimum of %d", len(secret), MinSecretBytes)
	}
	c := &Codec{boot: boot, replayWindows: make(map[string]*replayWindow)}
	c.macs.New = func() any { return hmac.New(sha256.New, secret) }
	return c, nil
}

// Encode returns m as an authenticated datagram.
func (c *Codec) Encode(m *gossipv1.Message) ([]byte, error) {
	c.mu.Lock()
	c.count++
	count := c.count
	c.mu.Unlock()
	body, err := proto.Marshal(&gossipv1.Body{Boot: c.boot, Count: count, Message: m})
	if err != nil {
		return nil, errors.Wrap(err, "encode gossip message")
	}
	packet, err := proto.Marshal(&gossipv1.Frame{Code: c.computeMAC(body), Body: body})
	if err != nil {
		return nil, errors.Wrap(err, "encode gossip frame")
	}
	if len(packet) > MaxPacketBytes {
		return nil, errors.Errorf("gossip datagram has %d bytes, more than the maximum of %d", len(packet), MaxPacketBytes)
	}
	return packet, nil
}

// Decode authenticates a datagram that was received at now and returns its
// message.
func (c *Codec) Decode(packet []byte, now time.Time) (*gossipv1.Message, error) {
	var frame gossipv1.Frame
	if err := proto.Unmarshal(packet, &frame); err != nil {
		return nil, errBadMAC
	}
	if !hmac.Equal(frame.Code, c.computeMAC(frame.Body)) {
		return nil, errBadMAC
	}
	var body gossipv1.Body
	if err := proto.Unmarshal(frame.Body, &body); err != nil {
		return nil, errors.Wrap(err, "decode gossip message")
	}
	if body.Message == nil {
		return nil, errors.New("gossip datagram has no message")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.accept(body.Message.From, body.Boot, body.Count, now) {
		return nil, errReplayed
	}
	return body.Message, nil
}

func (c *Codec) computeMAC(body []byte) []byte {
	mac := c.macs.Get().(hash.Hash)
	defer c.macs.Put(mac)
	mac.Reset()
	mac.Write(body)
	return mac.Sum(nil)[:macSize]
}

func (c *Codec) accept(from string, boot, count uint64, now time.Time) bool {
	w, ok := c.replayWindows[from]
	if !ok || boot > w.boot || (boot < w.boot && now.Sub(w.lastReceived) > bootRetention) {
		c.replayWindows[from] = &replayWindow{boot: boot, highest: count, lastReceived: now}
		return true
	}
	if boot < w.boot || !w.accept(count) {
		return false
	}
	w.lastReceived = now
	return true
}

func (w *replayWindow) accept(count uint64) bool {
	if count > w.highest {
		w.advance(count - w.highest)
		w.highest = count
		return true
	}
	behind := w.highest - count
	if behind == 0 || behind > windowSize {
		return false
	}
	bit := uint64(1) << (behind - 1)
	if w.seen&bit != 0 {
		return false
	}
	w.seen |= bit
	return true
}

// advance shifts the window by n. The previous highest counter becomes one of
// the bits.
func (w *replayWindow) advance(n uint64) {
	if n > windowSize {
		w.seen = 0
		return
	}
	w.seen = w.seen<<n | 1<<(n-1)
}

// Forget deletes the replay windows of senders from which nothing was received
// for longer than d, which bounds the memory used for them.
func (c *Codec) Forget(d time.Duration, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for from, w := range c.replayWindows {
		if now.Sub(w.lastReceived) > d {
			delete(c.replayWindows, from)
		}
	}
}
