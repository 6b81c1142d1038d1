package lease

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/cyclamenpoint/cyclamenpoint/internal/bubble"
	tablestandin "github.com/cyclamenpoint/cyclamenpoint/standin/table"
	"github.com/cyclamenpoint/cyclamenpoint/table"
)

func TestMain(m *testing.M) {
	// Flags on the command line are parsed later and take precedence.
	for _, f := range [][2]string{{"rapid.seed", "1"}, {"rapid.nofailfile", "true"}} {
		if err := flag.Set(f[0], f[1]); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// pausableTable is a table whose calls block while the process is paused.
type pausableTable struct {
	Table
	paused atomic.Int64
}

func (p *pausableTable) wait() {
	for time.Now().UnixNano() < p.paused.Load() {
		time.Sleep(time.Duration(p.paused.Load() - time.Now().UnixNano()))
	}
}

func (p *pausableTable) Get(ctx context.Context, key string) (table.Row, error) {
	p.wait()
	row, err := p.Table.Get(ctx, key)
	p.wait()
	return row, err
}

func (p *pausableTable) Write(ctx context.Context, ops []table.Op) ([]string, error) {
	p.wait()
	etags, err := p.Table.Write(ctx, ops)
	p.wait()
	return etags, err
}

// process is one process that competes for the lease.
type process struct {
	lease  *Lease
	table  *pausableTable
	cancel context.CancelFunc
	done   chan struct{}
}

// start starts a process in its own goroutine.
func start(store *tablestandin.Store, name string, s Settings, seed uint64) *process {
	p := &process{table: &pausableTable{Table: store}, done: make(chan struct{})}
	s.Name, s.Owner, s.Nonce = "x", name, name+"-"+strconv.FormatUint(seed, 10)
	p.lease = New(s, p.table, rand.New(rand.NewPCG(seed, 1)))
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	go func() { p.lease.Run(ctx); close(p.done) }()
	return p
}

// stop stops a process gracefully.
func (p *process) stop() {
	p.cancel()
	<-p.done
}

// observation records that a process considered itself the holder at one moment.
type observation struct {
	at    time.Duration
	owner int
	token uint64
}

// check verifies from the observations alone that there are never two holders at the
// same time and that tokens increase with each change of the holder.
func check(seen []observation) string {
	for i := 1; i < len(seen); i++ {
		a, b := seen[i-1], seen[i]
		if a.at == b.at && a.owner != b.owner {
			return fmt.Sprintf("two holders at %s: %d and %d", a.at, a.owner, b.owner)
		}
		if b.token < a.token || b.token == a.token && b.owner != a.owner {
			return fmt.Sprintf("token %d of process %d after token %d of process %d", b.token, b.owner, a.token, a.owner)
		}
	}
	return ""
}

// step is one step of a random history: a fault, followed by ticks of 250 ms. The
// meaning of amount depends on the fault.
type step struct {
	process int
	fault   string
	amount  int
	ticks   int
}

// steps generates a random history.
func steps() *rapid.Generator[[]step] {
	faults := []string{"none", "pause", "restart", "lose", "late", "down", "slow", "heal"}
	one := rapid.Custom(func(t *rapid.T) step {
		return step{
			process: rapid.IntRange(0, 2).Draw(t, "process"),
			fault:   rapid.SampledFrom(faults).Draw(t, "fault"),
			amount:  rapid.IntRange(1, 30).Draw(t, "amount"),
			ticks:   rapid.IntRange(1, 40).Draw(t, "ticks"),
		}
	})
	return rapid.SliceOfN(one, 20, 60)
}

// play runs three processes through a history and records the observations.
func play(plan []step, settings Settings) []observation {
	store := tablestandin.New()
	begun := time.Now()
	seed := uint64(0)
	fresh := func(i int) *process {
		seed++
		return start(store, strconv.Itoa(i), settings, seed)
	}
	procs := []*process{fresh(0), fresh(1), fresh(2)}
	var seen []observation
	for _, s := range plan {
		p := procs[s.process]
		switch s.fault {
		case "pause":
			p.table.paused.Store(time.Now().Add(time.Duration(s.amount) * time.Second).UnixNano())
		case "restart":
			p.cancel()
			p.table.paused.Store(0)
			procs[s.process] = fresh(s.process)
		case "lose":
			store.DropNextAnswers(s.amount % 4)
		case "late":
			store.SetFaults(tablestandin.Faults{ApplyDelay: 3 * time.Second})
		case "down":
			store.SetFaults(tablestandin.Faults{Down: true})
		case "slow":
			store.SetFaults(tablestandin.Faults{Delay: 2 * time.Second})
		case "heal":
			store.SetFaults(tablestandin.Faults{})
		}
		for range s.ticks {
			time.Sleep(250 * time.Millisecond)
			for j, p := range procs {
				if token, ok := p.lease.Held(); ok {
					seen = append(seen, observation{time.Since(begun), j, token})
				}
			}
		}
	}
	for _, p := range procs {
		p.table.paused.Store(0)
		p.stop()
	}
	time.Sleep(time.Minute)
	return seen
}

// playAndCheck plays a history in virtual time and checks the observations.
func playAndCheck(t *testing.T, plan []step, settings Settings) (violation string) {
	synctest.Test(t, func(*testing.T) { violation = check(play(plan, settings)) })
	return violation
}

func TestOneHolderAtATime(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if violation := playAndCheck(t, steps().Draw(rt, "plan"), Settings{}); violation != "" {
			rt.Fatal(violation)
		}
	})
}

// TestCheckDetectsOverlongValidity injects the fault that holders consider the lease
// valid for longer than other processes wait.
func TestCheckDetectsOverlongValidity(t *testing.T) {
	detected := 0
	for seed := range 20 {
		if playAndCheck(t, steps().Example(seed), Settings{Margin: -8 * time.Second}) != "" {
			detected++
		}
	}
	assert.Assert(t, detected > 0)
}

func TestOutageLongerThanTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := tablestandin.New()
		p := start(store, "a", Settings{}, 1)
		first, err := p.lease.Acquire(context.Background())
		assert.NilError(t, err)
		store.SetFaults(tablestandin.Faults{Down: true})
		time.Sleep(DefaultDuration)
		_, ok := p.lease.Held()
		assert.Assert(t, !ok, "a lease that can't be renewed must expire")
		time.Sleep(time.Hour)
		store.SetFaults(tablestandin.Faults{})
		time.Sleep(DefaultDuration)
		token, ok := p.lease.Held()
		assert.Assert(t, ok)
		assert.Equal(t, token, first, "no other process held the lease")
		p.stop()
	})
}

// TestTakeoverFromDeadHolder verifies the maximum time without a holder: the
// duration with drift for which the record must remain unchanged, and the time until
// it is first read.
func TestTakeoverFromDeadHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := tablestandin.New()
		a := start(store, "a", Settings{}, 1)
		first, err := a.lease.Acquire(context.Background())
		assert.NilError(t, err)
		b := start(store, "b", Settings{}, 2)
		time.Sleep(time.Minute)
		a.table.paused.Store(time.Now().Add(time.Hour).UnixNano())
		longest := DefaultDuration/watchDivisor + time.Duration(float64(DefaultDuration)*(1+DefaultDrift))
		ctx, cancel := context.WithTimeout(context.Background(), longest)
		defer cancel()
		second, err := b.lease.Acquire(ctx)
		assert.NilError(t, err)
		assert.Assert(t, second > first)
		a.table.paused.Store(0)
		time.Sleep(time.Hour)
		_, ok := a.lease.Held()
		assert.Assert(t, !ok, "the former holder must not hold the lease after its pause")
		a.stop()
		b.stop()
	})
}

func TestReleaseAllowsImmediateTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := tablestandin.New()
		a := start(store, "a", Settings{}, 1)
		first, err := a.lease.Acquire(context.Background())
		assert.NilError(t, err)
		b := start(store, "b", Settings{}, 2)
		time.Sleep(time.Minute)
		before := store.Counts().Writes
		time.Sleep(time.Minute)
		writes := store.Counts().Writes - before
		assert.Assert(t, writes <= 24, "a renewed lease takes %d writes a minute", writes)
		_, ok := b.lease.Held()
		assert.Assert(t, !ok, "a renewed lease must not be taken over")
		a.stop()
		_, ok = a.lease.Held()
		assert.Assert(t, !ok)
		ctx, cancel := context.WithTimeout(context.Background(), DefaultDuration/2)
		defer cancel()
		b.lease.Observe(first + 40)
		second, err := b.lease.Acquire(ctx)
		assert.NilError(t, err)
		assert.Assert(t, second > first)
		b.stop()
		c := start(store, "c", Settings{}, 3)
		third, err := c.lease.Acquire(context.Background())
		assert.NilError(t, err)
		assert.Assert(t, third > second)
		c.stop()
	})
}

// TestTokenIncreasesAfterTableRestore restores the row from an older copy.
func TestTokenIncreasesAfterTableRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := tablestandin.New()
		old := store.Snapshot()
		a := start(store, "a", Settings{}, 1)
		_, err := a.lease.Acquire(context.Background())
		assert.NilError(t, err)
		a.stop()
		store.Restore(old)
		b := start(store, "b", Settings{}, 2)
		b.lease.Observe(7)
		token, err := b.lease.Acquire(context.Background())
		assert.NilError(t, err)
		assert.Equal(t, token, uint64(8))
		b.stop()
	})
}
