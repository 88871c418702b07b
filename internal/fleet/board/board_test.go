package board_test

import (
	"fmt"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/board"
)

// TestUpdate guards against lost updates when many goroutines change one key.
func TestUpdate(t *testing.T) {
	is := is.New(t)
	var s board.ShardedMap[fleet.UpstreamID, int]
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() {
			for i := range 100 {
				id := fleet.UpstreamID(fmt.Sprint(i % 7))
				s.Update(id, func(n int, _ bool) (int, bool) { return n + 1, true })
			}
		})
	}
	wg.Wait()
	sum := 0
	s.Range(func(_ fleet.UpstreamID, n int) bool {
		sum += n
		return true
	})
	is.Equal(sum, 5000)
	is.Equal(s.Len(), 7)
	s.Update("0", func(int, bool) (int, bool) { return 0, false })
	_, found := s.Get("0")
	is.True(!found) // a function that returns false removes the key
}

// TestStoreIf guards against concurrent writers that replace a newer value by an older
// one.
func TestStoreIf(t *testing.T) {
	is := is.New(t)
	var c board.Cell[int]
	var wg sync.WaitGroup
	for i := range 100 {
		wg.Go(func() {
			c.StoreIf(&i, func(old *int) bool { return old == nil || *old < i })
		})
	}
	wg.Wait()
	is.Equal(*c.Load(), 99)
}
