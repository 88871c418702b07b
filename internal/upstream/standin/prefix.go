package standin

import (
	"container/list"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// maxEvents bounds the cache events that wait to be asked for.
const maxEvents = 4096

// prefixCache is the prefix cache of an engine: the least recently used blocks
// are evicted.
type prefixCache struct {
	clock fleet.Clock
	limit int
	lag   time.Duration
	loss  float64

	mu       sync.Mutex
	random   *rand.Rand
	order    *list.List // of upstream.Block, the most recently used first
	blocks   map[upstream.BlockHash]*list.Element
	sequence uint64
	events   []datedEvent
}

// datedEvent is an event and the time from which on it can be seen.
type datedEvent struct {
	upstream.CacheEvent
	visible time.Time
}

func newPrefixCache(c Config) *prefixCache {
	return &prefixCache{
		clock: c.Clock, limit: c.PrefixBlocks, lag: c.CacheEventLag, loss: c.CacheEventLoss,
		random: rand.New(rand.NewPCG(c.Seed, 1)),
		order:  list.New(),
		blocks: make(map[upstream.BlockHash]*list.Element),
	}
}

// touch returns how many positions of input are cached, and caches its blocks.
func (c *prefixCache) touch(input []uint64) int {
	if c.limit <= 0 {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	cached, hit := 0, true
	for _, b := range upstream.BlockHashes(input) {
		e, ok := c.blocks[b]
		hit = hit && ok
		if hit {
			cached += upstream.BlockSize
		}
		if ok {
			c.order.MoveToFront(e)
			continue
		}
		c.blocks[b] = c.order.PushFront(b)
		c.publish(b, false)
	}
	for c.order.Len() > c.limit {
		b := c.order.Remove(c.order.Back()).(upstream.BlockHash)
		delete(c.blocks, b)
		c.publish(b, true)
	}
	return cached
}

// publish appends an event, or loses it and leaves a gap in the numbers.
func (c *prefixCache) publish(b upstream.BlockHash, evicted bool) {
	c.sequence++
	if c.random.Float64() < c.loss {
		return
	}
	c.events = append(c.events, datedEvent{
		CacheEvent: upstream.CacheEvent{Sequence: c.sequence, Block: b, Evicted: evicted},
		visible:    c.clock.Now().Add(c.lag),
	})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// since returns the visible events after a sequence number.
func (c *prefixCache) since(after uint64) upstream.CacheEvents {
	c.mu.Lock()
	defer c.mu.Unlock()
	answer := upstream.CacheEvents{Next: after, Events: []upstream.CacheEvent{}}
	now := c.clock.Now()
	for _, e := range c.events {
		if e.Sequence <= after || e.visible.After(now) {
			continue
		}
		answer.Events = append(answer.Events, e.CacheEvent)
		answer.Next = e.Sequence
	}
	return answer
}

// clear forgets all blocks, as after the load of another model.
func (c *prefixCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for e := c.order.Front(); e != nil; e = e.Next() {
		c.publish(e.Value.(upstream.BlockHash), true)
	}
	c.order.Init()
	clear(c.blocks)
}
