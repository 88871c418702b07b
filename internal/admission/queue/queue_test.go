package queue_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bilberryrock/bilberryrock/internal/admission/queue"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/fakeclock"
)

// TestMain fixes the seed of rapid, so that every run checks the same cases.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

func always(*queue.Item) bool { return true }

// Guards against items that are lost, returned twice or returned after their latest
// start, and against a queue that exceeds its limit, under any order of calls.
func TestNothingLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := queue.New(20)
		now := fakeclock.Start
		queued := map[*queue.Item]bool{}
		takeOut := func(i *queue.Item) {
			if !queued[i] {
				t.Fatal("item was not in the queue")
			}
			delete(queued, i)
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "call") {
			case 0, 1:
				i := &queue.Item{
					Account:  fleet.AccountID(fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "account"))),
					Weight:   rapid.IntRange(0, 3).Draw(t, "weight"),
					Priority: fleet.Priority(rapid.IntRange(0, 2).Draw(t, "priority")),
					Expected: time.Duration(rapid.IntRange(0, 3).Draw(t, "expected")) * time.Second,
				}
				if rapid.Bool().Draw(t, "withDeadline") {
					i.Deadline = now.Add(5 * time.Second)
				}
				if q.Push(i) {
					queued[i] = true
				}
			case 2:
				now = now.Add(time.Second)
				for i := q.Expire(now); i != nil; i = q.Expire(now) {
					takeOut(i)
				}
				i := q.Pop(always)
				if i == nil && len(queued) > 0 {
					t.Fatal("Pop returned nil although items wait")
				}
				if i != nil {
					takeOut(i)
				}
				if i != nil && !i.Deadline.IsZero() && now.After(i.LatestStart()) {
					t.Fatal("Pop returned an item after its latest start")
				}
			case 3:
				for i := range queued {
					takeOut(i)
					if !q.Remove(i) || q.Remove(i) {
						t.Fatal("Remove does not report whether the item was in the queue")
					}
					break
				}
			case 4:
				q.Pop(func(*queue.Item) bool { return false })
			}
			if q.Len() != len(queued) || q.Len() > 20 {
				t.Fatalf("queue holds %d items, expected %d", q.Len(), len(queued))
			}
		}
	})
}

// Guards against shares that are not proportional to the weights, against a high
// priority that starves a low one, and against a large account that fills the queue.
func TestWeightsPrioritiesAndBound(t *testing.T) {
	is := is.New(t)
	q := queue.New(1000)
	push := func(account string, weight int, p fleet.Priority, n int) (pushed int) {
		for range n {
			if q.Push(&queue.Item{Account: fleet.AccountID(account), Weight: weight, Priority: p, Expected: time.Second}) {
				pushed++
			}
		}
		return pushed
	}
	is.Equal(push("large", 1, 0, 5000), 500) // at most half of the capacity
	is.Equal(push("heavy", 3, 0, 300), 300)
	is.Equal(push("urgent", 1, 5, 100), 100)
	count := map[fleet.AccountID]int{}
	for range 200 {
		count[q.Pop(always).Account]++
	}
	is.Equal(count["urgent"], 100)
	is.True(count["heavy"] >= 74 && count["heavy"] <= 76) // three quarters of the other 100
	is.True(count["large"] >= 24 && count["large"] <= 26)
	// While urgent items keep arriving, one item in 16 is of the lower priority.
	push("urgent", 1, 5, 100)
	low := 0
	for range 64 {
		if q.Pop(always).Account != "urgent" {
			low++
		}
	}
	is.Equal(low, 4)
}
