package membudget

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	_ "github.com/cyclamenpoint/cyclamenpoint/internal/bubble"
)

var (
	first  = netip.MustParseAddr("10.0.0.1")
	second = netip.MustParseAddr("10.0.0.2")
)

const (
	testBytes = 40 << 20
	piece     = 64 << 10
)

func newBudget() *Budget { return New(DefaultConfig(testBytes)) }

// fill reserves memory for a caller until none is left for large requests. It returns the
// reservations, of 2 MB each at most.
func fill(b *Budget, caller netip.Addr) []*Reservation {
	var list []*Reservation
	for {
		r := b.Open(caller)
		for r.held < 2<<20 && r.TryGrow(piece) {
		}
		if r.held == 0 {
			return list
		}
		list = append(list, r)
	}
}

// TestSmallBesideLarge guards against large requests that leave no memory for small ones.
func TestSmallBesideLarge(t *testing.T) {
	b := newBudget()
	fill(b, first)
	fill(b, second)
	for range int(testBytes * smallShare / SmallBytes) {
		assert.Assert(t, b.Open(first).TryGrow(SmallBytes))
	}
	assert.Assert(t, b.Stats().Used <= testBytes)
}

// TestCallers guards against one caller that reserves all memory.
func TestCallers(t *testing.T) {
	b := newBudget()
	fill(b, first)
	r := b.Open(second)
	for range 4 << 20 / piece {
		assert.Assert(t, r.TryGrow(piece))
	}
}

// TestLargest guards against limits that refuse a request of 4 MiB in the smallest budget.
func TestLargest(t *testing.T) {
	b := New(Config{})
	r := b.Open(first)
	for range 4<<20/piece + 1 {
		assert.Assert(t, r.TryGrow(piece))
	}
	r.Release()
	assert.Equal(t, b.Stats().Used, int64(0))
}

// TestRefused guards against requests that wait for memory without end, and against memory
// that a request which gave up keeps.
func TestRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBudget()
		fill(b, first)
		// The one request that can be completed takes the rest.
		completing := b.Open(first)
		for completing.held < 4<<20 {
			assert.NilError(t, completing.Grow(t.Context(), piece))
		}
		used := b.Stats().Used
		r, began := b.Open(first), time.Now()
		err := r.Grow(t.Context(), piece)
		assert.Assert(t, errors.As(err, new(*FullError)), "%v", err)
		assert.Equal(t, time.Since(began), DefaultMaxWait)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		assert.Equal(t, r.Grow(ctx, piece), context.DeadlineExceeded)
		r.Release()
		assert.Equal(t, b.Stats().Used, used)
		assert.Equal(t, b.Stats().Waiting, 0)
	})
}

// TestCompletion guards against large requests that wait for each other: all begin at once,
// and none has room for the rest.
func TestCompletion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBudget()
		var requests sync.WaitGroup
		var mu sync.Mutex
		completed := 0
		for range 100 {
			requests.Go(func() {
				r := b.Open(first)
				defer r.Release()
				for range 4 << 20 / piece {
					if r.Grow(t.Context(), piece) != nil {
						return
					}
					time.Sleep(time.Millisecond)
				}
				mu.Lock()
				completed++
				mu.Unlock()
			})
		}
		requests.Wait()
		assert.Assert(t, completed >= 1)
		assert.Equal(t, b.Stats().Used, int64(0))
	})
}

// TestStalled guards against requests that stop and keep their memory while others wait,
// and against the end of requests that progress, or of any while nobody waits.
func TestStalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBudget()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go b.Run(ctx)
		list := fill(b, first)
		list = append(list, fill(b, second)...)
		for i, r := range list {
			if i == 0 {
				r.SetRevocable(func() { t.Error("a request that progresses was ended") })
				continue
			}
			r.SetRevocable(r.Release)
		}
		progress := func() {
			for range 20 {
				time.Sleep(100 * time.Millisecond)
				list[0].Progress(progressBytes)
			}
		}
		progress()
		assert.Equal(t, b.Stats().Revoked, uint64(0), "no request waits")
		var progressing sync.WaitGroup
		defer progressing.Wait()
		progressing.Go(progress)
		// The first one is completed from the memory that is reserved for that.
		for range 2 {
			r := b.Open(first)
			for range 4 << 20 / piece {
				assert.NilError(t, r.Grow(t.Context(), piece))
			}
		}
		assert.Assert(t, list[1].Revoked() && !list[0].Revoked())
		progressing.Wait()
		list[0].SetRevocable(list[0].Release)
		time.Sleep(DefaultMaxStall + 2*sweepInterval)
		assert.Assert(t, list[0].Revoked(), "a request that stopped long ago")
	})
}

// TestAccounting compares the sums of a budget with those of its reservations after random
// operations. It guards against memory that is lost or returned twice.
func TestAccounting(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	b := newBudget()
	list := make([]*Reservation, 50)
	for i := range list {
		list[i] = b.Open([]netip.Addr{first, second}[i%2])
	}
	for range 100_000 {
		r := list[rng.IntN(len(list))]
		switch rng.IntN(6) {
		case 0, 1:
			r.TryGrow(rng.Int64N(200 << 10))
		case 2:
			r.ForceGrow(rng.Int64N(8 << 10))
		case 3:
			r.Shrink(rng.Int64N(100 << 10))
		case 4:
			r.SetRevocable(func() {})
		case 5:
			if rng.IntN(4) == 0 {
				r.Release()
			}
		}
		var used, large int64
		byCaller := make(map[netip.Addr]int64)
		for _, r := range list {
			used += r.held
			if r.held > SmallBytes {
				large += r.held
				byCaller[r.caller] += r.held
			}
		}
		assert.Equal(t, b.used, used)
		assert.Equal(t, b.large, large)
		assert.DeepEqual(t, b.byCaller, byCaller)
	}
	for _, r := range list {
		r.Release()
	}
	assert.Equal(t, b.used, int64(0))
	assert.Assert(t, b.oldest == nil && b.newest == nil)
}

func BenchmarkSmall(b *testing.B) {
	budget := newBudget()
	for b.Loop() {
		r := budget.Open(first)
		r.SetRevocable(func() {})
		r.TryGrow(1 << 10)
		r.Progress(1 << 10)
		r.SetRevocable(nil)
		r.Release()
	}
}
