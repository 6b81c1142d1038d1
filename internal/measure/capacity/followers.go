package main

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/claim"
	"github.com/cyclamenpoint/cyclamenpoint/lease"
	"github.com/cyclamenpoint/cyclamenpoint/rollout"
	objectstorestandin "github.com/cyclamenpoint/cyclamenpoint/standin/objectstore"
	tablestandin "github.com/cyclamenpoint/cyclamenpoint/standin/table"
)

const (
	// settleTime is the time from the start of followers or lease candidates until
	// their calls of the table are counted.
	settleTime = 6 * time.Second
	// The calls of the table are counted for these times.
	followerMeasureTime = 12 * time.Second
	claimMeasureTime    = 4 * time.Second
	leaseMeasureTime    = 15 * time.Second

	claimRunners = 3
	// saturatingRate is a rate of protected requests, in requests per second, that
	// keeps all runners busy.
	saturatingRate = 200
)

// stubPeers implements rollout.Peers and rollout.Consumer for a follower whose
// peers all hold the latest version.
type stubPeers struct{ members int }

// Announce implements rollout.Peers.
func (stubPeers) Announce(rollout.Digest, bool) {}

// Summary implements rollout.Peers.
func (p stubPeers) Summary(d rollout.Digest) rollout.PeerSummary {
	return rollout.PeerSummary{Members: p.members, Ready: p.members - 1, Holding: p.members - 1, Newest: d}
}

// NotFoundError reports that the body of a version is not available from a peer.
type NotFoundError struct{}

// Error implements error.
func (e *NotFoundError) Error() string { return "body not available from peers" }

// Fetch implements rollout.Peers.
func (stubPeers) Fetch(context.Context, rollout.Digest) ([]byte, error) { return nil, &NotFoundError{} }

// Check implements rollout.Consumer.
func (stubPeers) Check(rollout.Digest, []byte) (func(), error) { return func() {}, nil }

// measureFollowers measures how often the followers of a configuration read the
// table while it does not change, and the processor time of each follower.
func measureFollowers(ctx context.Context, _ *options) ([]*series, error) {
	reads := &series{name: "follower-reads", x: "processes", y: "table reads a second of all together", designSize: processes, limit: limitReadsPerSecond}
	cores := &series{name: "follower-cpu", x: "processes", y: "percent of a core for each", designSize: processes, limit: limitCorePercent}
	for _, size := range []int{16, 64, 256, processes} {
		store, objects := tablestandin.New(), objectstorestandin.New()
		_, err := rollout.NewRegistry(store, objects).Accept(ctx, rollout.Proposal{Body: []byte("body"), Who: "o", ID: "1"})
		if err != nil {
			return nil, err
		}
		runCtx, cancel := context.WithCancel(ctx)
		for i := range size {
			p := stubPeers{members: size}
			f := rollout.NewFollower(rollout.Settings{Node: strconv.Itoa(i)}, store, objects, p, p, rand.New(rand.NewPCG(uint64(i), 1)))
			go f.Run(runCtx)
		}
		sleep(ctx, settleTime)
		readsBefore, usedBefore, start := store.Counts().Reads, processorTime(), time.Now()
		sleep(ctx, followerMeasureTime)
		seconds := time.Since(start).Seconds()
		reads.add(float64(size), float64(store.Counts().Reads-readsBefore)/seconds)
		cores.add(float64(size), 100*(processorTime()-usedBefore).Seconds()/seconds/float64(size))
		cancel()
	}
	return []*series{reads, cores}, nil
}

// measureClaims measures the writes of claims to the table, with the default
// flush interval: by the rate of protected requests while no runner is
// saturated, and by the number of runners when all of them are.
func measureClaims(ctx context.Context, _ *options) ([]*series, error) {
	writes := &series{name: "claim-writes", x: "protected requests a second", y: "table writes a second of three runners", designSize: 40, limit: limitWritesPerSecond}
	rows := &series{name: "claim-rows", x: "protected requests a second", y: "rows written a second", designSize: 40}
	busy := &series{name: "claim-writes-busy", x: "runners", y: "table writes a second at 200 requests a second", designSize: claimRunners, limit: limitWritesPerSecond}
	for _, rate := range []int{5, 10, 20, 40} {
		cost, err := measureProtectedRequests(ctx, claimRunners, rate)
		if err != nil {
			return nil, err
		}
		writes.add(float64(rate), cost.writes)
		rows.add(float64(rate), cost.rows)
	}
	for runners := 1; runners <= claimRunners; runners++ {
		cost, err := measureProtectedRequests(ctx, runners, saturatingRate)
		if err != nil {
			return nil, err
		}
		busy.add(float64(runners), cost.writes)
	}
	return []*series{writes, rows, busy}, nil
}

// claimCost is the number of writes to the table, and of rows in them, per second.
type claimCost struct{ writes, rows float64 }

// measureProtectedRequests claims and finishes protected requests at a rate, in
// requests per second, distributed over a number of runners. It returns the cost
// of their claims.
func measureProtectedRequests(ctx context.Context, runners, rate int) (claimCost, error) {
	store := tablestandin.New()
	ctx, cancel := context.WithCancel(ctx)
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer cancel()
	var ledgers []*claim.Ledger
	for i := range runners {
		name := strconv.Itoa(i)
		l := claim.New(claim.Settings{Runner: name, Nonce: name}, store, objectstorestandin.New(), rand.New(rand.NewPCG(uint64(i), 1)))
		tasks.Go(func() { l.Run(ctx) })
		ledgers = append(ledgers, l)
	}
	start := time.Now()
	count := int(claimMeasureTime.Seconds()) * rate
	errs := make(chan error, count)
	var calls sync.WaitGroup
	for i := range count {
		sleep(ctx, time.Until(start.Add(time.Duration(i)*time.Second/time.Duration(rate))))
		calls.Go(func() { errs <- runProtected(ctx, ledgers[i%runners], i) })
	}
	calls.Wait()
	elapsed := time.Since(start).Seconds()
	close(errs)
	for err := range errs {
		if err != nil {
			return claimCost{}, err
		}
	}
	counts := store.Counts()
	return claimCost{writes: float64(counts.Writes) / elapsed, rows: float64(counts.Rows) / elapsed}, nil
}

// runProtected claims one request and stores its answer.
func runProtected(ctx context.Context, l *claim.Ledger, i int) error {
	d, err := l.Begin(ctx, claim.Claim{
		Organisation: "o", Route: "POST desk/reservations", Key: strconv.Itoa(i), Fingerprint: "f", KeepAnswer: time.Hour,
	})
	if err != nil {
		return err
	}
	return l.Finish(*d.Run, claim.Answer{Status: 200, Body: make([]byte, 512)})
}

// measureLease measures the reads and writes of the table by groups in which
// one rank holds the lease and all other ranks are candidates for it.
func measureLease(ctx context.Context, _ *options) ([]*series, error) {
	reads := &series{name: "lease-reads", x: "groups of 32 ranks", y: "table reads a second", designSize: groups, limit: limitReadsPerSecond}
	writes := &series{name: "lease-writes", x: "groups of 32 ranks", y: "table writes a second", designSize: groups, limit: limitWritesPerSecond}
	for _, size := range []int{1, 4, groups} {
		store := tablestandin.New()
		runCtx, cancel := context.WithCancel(ctx)
		for g := range size {
			startCandidates(runCtx, store, g)
		}
		sleep(ctx, settleTime)
		before, start := store.Counts(), time.Now()
		sleep(ctx, leaseMeasureTime)
		after, seconds := store.Counts(), time.Since(start).Seconds()
		reads.add(float64(size), float64(after.Reads-before.Reads)/seconds)
		writes.add(float64(size), float64(after.Writes-before.Writes)/seconds)
		cancel()
	}
	return []*series{reads, writes}, nil
}

// startCandidates starts all ranks of a group as candidates for its lease.
func startCandidates(ctx context.Context, store *tablestandin.Store, group int) {
	for rank := range ranksPerGroup {
		owner := strconv.Itoa(group) + "-" + strconv.Itoa(rank)
		l := lease.New(lease.Settings{Name: "group-" + strconv.Itoa(group), Owner: owner, Nonce: owner}, store, rand.New(rand.NewPCG(uint64(group), uint64(rank))))
		go l.Run(ctx)
	}
}
