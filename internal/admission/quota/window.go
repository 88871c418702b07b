package quota

import "time"

const (
	// Window is the time over which streams are counted. In trials with simulated gateways
	// and sums of a mean age of 0.4 s, the first 1.5 s after a burst of 5 times saw 123
	// admitted streams per second of 256 with a window of 1 s, and 177 with 0.5 s.
	Window = 500 * time.Millisecond
	// isolatedWindow is the time over which a gateway without sums counts its streams. One
	// of 100 gateways has too few in Window to tell the levels apart.
	isolatedWindow = 2 * time.Second
	// slotTime divides the windows.
	slotTime  = 50 * time.Millisecond
	slotCount = int64(isolatedWindow/slotTime) + 1
)

// counter counts events in the last isolatedWindow. The time is given as the number of its
// slot.
type counter struct {
	slots [slotCount]uint32
	last  int64 // newest slot with an event
}

func (c *counter) add(n int64) {
	if n-c.last >= slotCount {
		*c = counter{last: n}
	}
	for c.last < n {
		c.last++
		c.slots[c.last%slotCount] = 0
	}
	c.slots[c.last%slotCount]++
}

// sum returns the number of events in the given time before slot n, which is not counted,
// since it is not over.
func (c *counter) sum(n int64, d time.Duration) int { return c.between(n-int64(d/slotTime), n-1) }

// upTo returns the number of events in the given time up to slot n, which is counted.
func (c *counter) upTo(n int64, d time.Duration) int {
	return c.between(n-int64(d/slotTime)+1, n)
}

func (c *counter) between(first, last int64) int {
	total := 0
	for i := max(first, c.last-slotCount+1, 0); i <= min(last, c.last); i++ {
		total += int(c.slots[i%slotCount])
	}
	return total
}

// idle reports whether no events are counted any longer at slot n.
func (c *counter) idle(n int64) bool { return n-c.last >= slotCount }
