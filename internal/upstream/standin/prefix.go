package standin

import (
	"container/list"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// maxStoredEvents is the number of cache events that are kept for queries.
const maxStoredEvents = 4096

// prefixCache is the prefix cache of an engine. It evicts the least recently used
// blocks.
type prefixCache struct {
	clock         fleet.Clock
	maxBlocks     int
	eventLag      time.Duration
	eventLossRate float64

	mu       sync.Mutex
	random   *rand.Rand
	lru      *list.List // of upstream.BlockHash, most recently used first
	blocks   map[upstream.BlockHash]*list.Element
	sequence uint64
	events   []delayedEvent
}

// delayedEvent is a cache event that queries return from visibleAt on.
type delayedEvent struct {
	upstream.CacheEvent
	visibleAt time.Time
}

func newPrefixCache(c Config) *prefixCache {
	return &prefixCache{
		clock: c.Clock, maxBlocks: c.PrefixBlocks, eventLag: c.CacheEventLag, eventLossRate: c.CacheEventLoss,
		random: rand.New(rand.NewPCG(c.Seed, 1)),
		lru:    list.New(),
		blocks: make(map[upstream.BlockHash]*list.Element),
	}
}

// insert caches the blocks of input. It returns the number of positions at the
// start of input that were already cached.
func (c *prefixCache) insert(input []uint64) int {
	if c.maxBlocks <= 0 {
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
			c.lru.MoveToFront(e)
			continue
		}
		c.blocks[b] = c.lru.PushFront(b)
		c.publish(b, false)
	}
	for c.lru.Len() > c.maxBlocks {
		b := c.lru.Remove(c.lru.Back()).(upstream.BlockHash)
		delete(c.blocks, b)
		c.publish(b, true)
	}
	return cached
}

// publish appends an event. A lost event leaves a gap in the sequence numbers.
func (c *prefixCache) publish(b upstream.BlockHash, evicted bool) {
	c.sequence++
	if c.random.Float64() < c.eventLossRate {
		return
	}
	c.events = append(c.events, delayedEvent{
		CacheEvent: upstream.CacheEvent{Sequence: c.sequence, Block: b, Evicted: evicted},
		visibleAt:  c.clock.Now().Add(c.eventLag),
	})
	if len(c.events) > maxStoredEvents {
		c.events = c.events[len(c.events)-maxStoredEvents:]
	}
}

// eventsAfter returns the visible events with sequence numbers above after.
func (c *prefixCache) eventsAfter(after uint64) upstream.CacheEvents {
	c.mu.Lock()
	defer c.mu.Unlock()
	result := upstream.CacheEvents{Next: after, Events: []upstream.CacheEvent{}}
	now := c.clock.Now()
	for _, e := range c.events {
		if e.Sequence <= after || e.visibleAt.After(now) {
			continue
		}
		result.Events = append(result.Events, e.CacheEvent)
		result.Next = e.Sequence
	}
	return result
}

// clear evicts all blocks, as after a change to another model.
func (c *prefixCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for e := c.lru.Front(); e != nil; e = e.Next() {
		c.publish(e.Value.(upstream.BlockHash), true)
	}
	c.lru.Init()
	clear(c.blocks)
}
