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

// MaxPacket bounds a datagram in bytes.
const MaxPacket = 1400

// MinSecret is the least length of the shared secret in bytes.
const MinSecret = 16

// macSize is the length of the authentication code: HMAC-SHA-256 cut to 128
// bits, which RFC 2104, section 5, allows.
const macSize = sha256.Size / 2

// windowSize is the number of datagrams of one sender by which one may be late.
const windowSize = 64

// bootRetention is the time after the last datagram of a process for which
// datagrams of earlier processes of the same instance are refused.
const bootRetention = time.Minute

// Errors of datagrams that are not accepted.
var (
	errBadMAC   = errors.New("the authentication code is wrong")
	errReplayed = errors.New("the datagram was received before or is too old")
)

// Codec turns messages into authenticated datagrams and back. It refuses a
// datagram that it has accepted before. It is safe for concurrent use.
type Codec struct {
	macs sync.Pool
	boot uint64

	mu            sync.Mutex
	count         uint64
	replayWindows map[string]*replayWindow
}

// replayWindow tells which datagrams of one process were received: highest, and one
// bit for each of the 64 before it.
type replayWindow struct {
	boot         uint64
	highest      uint64
	seen         uint64
	lastReceived time.Time
}

// NewCodec returns a Codec for a process that started with incarnation boot.
func NewCodec(secret []byte, boot uint64) (*Codec, error) {
	if len(secret) < MinSecret {
		return nil, errors.Errorf("the gossip secret has %d bytes, fewer than %d", len(secret), MinSecret)
	}
	c := &Codec{boot: boot, replayWindows: make(map[string]*replayWindow)}
	c.macs.New = func() any { return hmac.New(sha256.New, secret) }
	return c, nil
}

// Encode returns the datagram of m.
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
	if len(packet) > MaxPacket {
		return nil, errors.Errorf("gossip datagram has %d bytes, more than %d", len(packet), MaxPacket)
	}
	return packet, nil
}

// Decode returns the message of a datagram that was received at now.
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
		return nil, errors.New("the datagram has no message")
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

// advance moves the window by n. The former highest becomes one of the bits.
func (w *replayWindow) advance(n uint64) {
	if n > windowSize {
		w.seen = 0
		return
	}
	w.seen = w.seen<<n | 1<<(n-1)
}

// Forget drops the state of senders that were silent for longer than d, so that
// it stays bounded.
func (c *Codec) Forget(d time.Duration, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for from, w := range c.replayWindows {
		if now.Sub(w.lastReceived) > d {
			delete(c.replayWindows, from)
		}
	}
}
