package main

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	objectstorestandin "github.com/cyclamenpoint/cyclamenpoint/standin/objectstore"
	tablestandin "github.com/cyclamenpoint/cyclamenpoint/standin/table"

	"github.com/cyclamenpoint/cyclamenpoint/claim"
	"github.com/cyclamenpoint/cyclamenpoint/lease"
	"github.com/cyclamenpoint/cyclamenpoint/rollout"
)

const (
	startWindow  = 6 * time.Second
	readWindow   = 12 * time.Second
	claimWindow  = 4 * time.Second
	leaseWindow  = 15 * time.Second
	claimRunners = 3
	// busyRate is a rate of protected requests that keeps all runners busy.
	busyRate = 200
)

// peers is the census of followers that all hold the newest version.
type peers struct{ members int }

// Announce implements rollout.Peers.
func (peers) Announce(rollout.Digest, bool) {}

// Summary implements rollout.Peers.
func (p peers) Summary(d rollout.Digest) rollout.PeerSummary {
	return rollout.PeerSummary{Members: p.members, Ready: p.members - 1, Holding: p.members - 1, Newest: d}
}

// NoBodyError tells that no peer gives a body.
type NoBodyError struct{}

// Error says so.
func (e *NoBodyError) Error() string { return "no peer gives the body" }

// Fetch implements rollout.Peers.
func (peers) Fetch(context.Context, rollout.Digest) ([]byte, error) { return nil, &NoBodyError{} }

// Check implements rollout.Consumer.
func (peers) Check(rollout.Digest, []byte) (func(), error) { return func() {}, nil }

// measureFollowers measures what the followers of a configuration read of the
// table in rest, and what each of them costs.
func measureFollowers(ctx context.Context, _ *options) ([]*series, error) {
	reads := &series{name: "follower-reads", x: "processes", y: "table reads a second of all together", at: processes, limit: limitReads}
	cores := &series{name: "follower-cpu", x: "processes", y: "percent of a core for each", at: processes, limit: limitCorePercent}
	for _, size := range []int{16, 64, 256, processes} {
		store, objects := tablestandin.New(), objectstorestandin.New()
		_, err := rollout.NewRegistry(store, objects).Accept(ctx, rollout.Proposal{Body: []byte("body"), Who: "o", ID: "1"})
		if err != nil {
			return nil, err
		}
		runCtx, cancel := context.WithCancel(ctx)
		for i := range size {
			p := peers{members: size}
			f := rollout.NewFollower(rollout.Settings{Node: strconv.Itoa(i)}, store, objects, p, p, rand.New(rand.NewPCG(uint64(i), 1)))
			go f.Run(runCtx)
		}
		pause(ctx, startWindow)
		before, used, start := store.Counts().Reads, cpu(), time.Now()
		pause(ctx, readWindow)
		seconds := time.Since(start).Seconds()
		reads.add(float64(size), float64(store.Counts().Reads-before)/seconds)
		cores.add(float64(size), 100*(cpu()-used).Seconds()/seconds/float64(size))
		cancel()
	}
	return []*series{reads, cores}, nil
}

// measureClaims measures the table's writes against the rate of protected
// requests while no runner is busy, and against the runners once all are, with
// the default time between two writes of a runner.
func measureClaims(ctx context.Context, _ *options) ([]*series, error) {
	writes := &series{name: "claim-writes", x: "protected requests a second", y: "table writes a second of three runners", at: 40, limit: limitWrites}
	rows := &series{name: "claim-rows", x: "protected requests a second", y: "rows written a second", at: 40}
	busy := &series{name: "claim-writes-busy", x: "runners", y: "table writes a second at 200 requests a second", at: claimRunners, limit: limitWrites}
	for _, rate := range []int{5, 10, 20, 40} {
		spent, err := protect(ctx, claimRunners, rate)
		if err != nil {
			return nil, err
		}
		writes.add(float64(rate), spent.writes)
		rows.add(float64(rate), spent.rows)
	}
	for runners := 1; runners <= claimRunners; runners++ {
		spent, err := protect(ctx, runners, busyRate)
		if err != nil {
			return nil, err
		}
		busy.add(float64(runners), spent.writes)
	}
	return []*series{writes, rows, busy}, nil
}

// claimSpending is what claims cost the table a second.
type claimSpending struct{ writes, rows float64 }

// protect sends protected requests through runners.
func protect(ctx context.Context, runners, rate int) (claimSpending, error) {
	store := tablestandin.New()
	ctx, cancel := context.WithCancel(ctx)
	var duties sync.WaitGroup
	defer duties.Wait()
	defer cancel()
	var all []*claim.Ledger
	for i := range runners {
		name := strconv.Itoa(i)
		l := claim.New(claim.Settings{Runner: name, Nonce: name}, store, objectstorestandin.New(), rand.New(rand.NewPCG(uint64(i), 1)))
		duties.Go(func() { l.Run(ctx) })
		all = append(all, l)
	}
	start := time.Now()
	count := int(claimWindow.Seconds()) * rate
	failures := make(chan error, count)
	var calls sync.WaitGroup
	for i := range count {
		pause(ctx, time.Until(start.Add(time.Duration(i)*time.Second/time.Duration(rate))))
		calls.Go(func() { failures <- runProtected(ctx, all[i%runners], i) })
	}
	calls.Wait()
	took := time.Since(start).Seconds()
	close(failures)
	for err := range failures {
		if err != nil {
			return claimSpending{}, err
		}
	}
	counts := store.Counts()
	return claimSpending{writes: float64(counts.Writes) / took, rows: float64(counts.Rows) / took}, nil
}

// runProtected claims and answers one request.
func runProtected(ctx context.Context, l *claim.Ledger, i int) error {
	d, err := l.Begin(ctx, claim.Claim{
		Organisation: "o", Route: "POST desk/reservations", Key: strconv.Itoa(i), Fingerprint: "f", KeepAnswer: time.Hour,
	})
	if err != nil {
		return err
	}
	return l.Finish(*d.Run, claim.Answer{Status: 200, Body: make([]byte, 512)})
}

// measureLease measures the table's load of groups whose lease has one holder
// and the other ranks as candidates.
func measureLease(ctx context.Context, _ *options) ([]*series, error) {
	reads := &series{name: "lease-reads", x: "groups of 32 ranks", y: "table reads a second", at: groups, limit: limitReads}
	writes := &series{name: "lease-writes", x: "groups of 32 ranks", y: "table writes a second", at: groups, limit: limitWrites}
	for _, size := range []int{1, 4, groups} {
		store := tablestandin.New()
		runCtx, cancel := context.WithCancel(ctx)
		for g := range size {
			contend(runCtx, store, g)
		}
		pause(ctx, startWindow)
		before, start := store.Counts(), time.Now()
		pause(ctx, leaseWindow)
		after, seconds := store.Counts(), time.Since(start).Seconds()
		reads.add(float64(size), float64(after.Reads-before.Reads)/seconds)
		writes.add(float64(size), float64(after.Writes-before.Writes)/seconds)
		cancel()
	}
	return []*series{reads, writes}, nil
}

// contend lets all ranks of a group seek its lease.
func contend(ctx context.Context, store *tablestandin.Store, group int) {
	for rank := range groupRanks {
		owner := strconv.Itoa(group) + "-" + strconv.Itoa(rank)
		l := lease.New(lease.Settings{Name: "group-" + strconv.Itoa(group), Owner: owner, Nonce: owner}, store, rand.New(rand.NewPCG(uint64(group), uint64(rank))))
		go l.Run(ctx)
	}
}
