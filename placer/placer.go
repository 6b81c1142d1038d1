// Package placer is the control loop that balances a rank group's expert map. It
// runs in every agent of the group and is active in the one that
// holds the group's lease. In each round it collects reports from all engines,
// estimates the load of each expert, runs the policy of package placement and, if
// the policy decides to change the map, requests the new map from package
// mapswitch. It also requests a new epoch when an engine has restarted and is in
// none.
package placer

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/cyclamenpoint/cyclamenpoint/deployment"
	"github.com/cyclamenpoint/cyclamenpoint/expertmap"
	"github.com/cyclamenpoint/cyclamenpoint/mapswitch"
	"github.com/cyclamenpoint/cyclamenpoint/placement"
)

// Report is an engine's report on its state and its experts.
type Report struct {
	// Engine is the incarnation of the engine process.
	Engine  uint64
	Epoch   uint64
	Step    uint64
	InForce mapswitch.Ref
	// Map is the content of InForce. It may be empty.
	Map []byte
	// Loaded holds the expert in each slot of the engine's memory, ordered by
	// layer and slot.
	Loaded  []expertmap.Expert
	Windows []Window
}

// Window holds an engine's load counts for one window of steps of its epoch.
type Window struct {
	Window int64
	// Counts holds the number of tokens of each expert, ordered by layer and
	// expert.
	Counts []uint32
}

// Query is a request for a Report.
type Query struct {
	// Token is the fencing token of the requesting agent.
	Token uint64
	// Skew is the latest estimate of the group's skew, or zero for none.
	Skew float64
	// Counts requests the windows after After.
	Counts bool
	After  int64
	// Map requests the content of the map in force.
	Map bool
}

// Source fetches reports from the agents of a group. Report may be called from
// any goroutine. An error means that no report is available at present.
type Source interface {
	Report(ctx context.Context, rank mapswitch.Rank, q Query) (Report, error)
}

// Switch is the part of mapswitch.Node that a Placer uses.
type Switch interface {
	Snapshot() mapswitch.Snapshot
	SetTargetMap(m mapswitch.Map) error
	SetTargetMembers(members mapswitch.RankSet, m mapswitch.Map) error
}

// Records reads the group's durable record.
type Records interface {
	Read(ctx context.Context) (mapswitch.Record, uint64, error)
}

// Config holds the settings of a Placer.
type Config struct {
	Group deployment.Group
	// FailureDomains holds the failure domain of each rank.
	FailureDomains []string
	// Interval is the time between two rounds. CollectTimeout limits the collection
	// of reports in one round.
	Interval       time.Duration
	CollectTimeout time.Duration
	// WindowSteps is the number of steps of a window.
	WindowSteps uint64
	// StoreBytesPerSecond is the rate limit of the weight store for the group.
	StoreBytesPerSecond float64
}

// Dependencies holds the services that a Placer uses.
type Dependencies struct {
	Lease   mapswitch.Lease
	Switch  Switch
	Source  Source
	Records Records
}

// Status is the state of a Placer for status pages.
type Status struct {
	// Active is true while this agent is the one that decides for the group.
	Active bool
	// Skew is the estimated skew with the map in force, or zero for none.
	Skew float64
	// Changes counts the map changes that this agent has decided since its start,
	// and Moves and Bytes the experts and bytes moved by them. Switches counts those
	// changes that have come into force. LastSwitchDuration is the time that the
	// latest requested map, also one of a new epoch, took to come into force.
	Changes            int64
	Moves              int64
	Bytes              int64
	Switches           int64
	LastSwitchDuration time.Duration
}

// Intervals and timeouts, in rounds.
const (
	// countsInterval is the number of rounds between two requests for the counts of
	// a rank. Each round requests the counts of one in countsInterval ranks.
	countsInterval = 4
	// outsideRounds is the number of consecutive rounds with an engine outside of
	// the epoch after which a new epoch is requested. A single round may show only
	// a transition.
	outsideRounds = 2
	// switchTimeoutRounds is the number of rounds after which a requested map that
	// is not in force no longer blocks the next decision.
	switchTimeoutRounds = 120
	// epochTimeoutRounds is the number of rounds after which a new epoch is
	// requested again.
	epochTimeoutRounds = 30
)

// RecordReadError is returned if the group's record could not be read.
type RecordReadError struct {
	Group string
	Cause error
}

// Error implements error.
func (e *RecordReadError) Error() string {
	return fmt.Sprintf("the record of group %s was not read: %v", e.Group, e.Cause)
}

// Unwrap returns the cause.
func (e *RecordReadError) Unwrap() error { return e.Cause }

// Placer is the control loop of one agent. Status may be called from any
// goroutine.
type Placer struct {
	cfg    Config
	deps   Dependencies
	shape  expertmap.Shape
	policy placement.Policy
	status atomic.Pointer[Status]

	// The following fields are used only by the goroutine of Run.
	state     Status
	round     int
	token     uint64
	estimator *placement.Estimator
	// epoch is the epoch of the estimator's latest window. windowOffset is added to
	// the window numbers of that epoch.
	epoch        uint64
	windowOffset int64
	// roundsOutside counts the consecutive rounds in which an engine was outside of
	// the epoch.
	roundsOutside int
	// requestedMap is the latest requested map. Its hash is empty if no request is
	// pending. requestedAt is the time of the request, and roundsWaited the number
	// of rounds since. epochRequested is true if it was requested with a new epoch.
	requestedMap   mapswitch.Ref
	requestedAt    time.Time
	roundsWaited   int
	epochRequested bool
	// latestWindow is the latest window that has ended.
	latestWindow int64
	lastReason   placement.Reason
}

// New returns a Placer. It is inactive until Run is called.
func New(cfg Config, deps Dependencies) *Placer {
	p := &Placer{cfg: cfg, deps: deps, policy: placement.NewPolicy(cfg.Group), shape: expertmap.Shape{
		Layers: cfg.Group.Layers, Experts: cfg.Group.Experts, Ranks: len(cfg.FailureDomains), Slots: cfg.Group.Slots,
	}}
	p.publish()
	return p
}

// Status returns the state after the latest round.
func (p *Placer) Status() Status { return *p.status.Load() }

func (p *Placer) publish() {
	status := p.state
	p.status.Store(&status)
}

// Run runs rounds until the context ends.
func (p *Placer) Run(ctx context.Context) {
	ticker := time.NewTicker(p.cfg.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.tick(ctx)
			p.publish()
		}
	}
}

// tick runs one round if this agent holds the lease and is attached to its engine.
func (p *Placer) tick(ctx context.Context) {
	token, held := p.deps.Lease.Held()
	snap := p.deps.Switch.Snapshot()
	p.state.Active = held && snap.Attached
	if !p.state.Active {
		p.token, p.state.Skew = 0, 0
		return
	}
	if token != p.token {
		p.reset(token)
	}
	p.round++
	p.checkRequestedMap(snap)
	reports := p.collect(ctx)
	p.updateEstimates(reports)
	if len(reports) < p.shape.Ranks {
		klog.V(1).Infof("placement: group %s: no decision, only %d of %d ranks reported", p.cfg.Group.Name, len(reports), p.shape.Ranks)
		return
	}
	if p.needsEpoch(snap, reports) {
		p.requestEpoch(ctx, reports)
		return
	}
	p.decide(snap, reports)
}

// reset discards the state of an earlier lease of this agent.
func (p *Placer) reset(token uint64) {
	p.token, p.estimator, p.epoch, p.windowOffset = token, nil, 0, 0
	p.roundsOutside, p.roundsWaited, p.epochRequested, p.latestWindow = 0, 0, false, 0
	p.requestedMap, p.lastReason = mapswitch.Ref{Version: p.requestedMap.Version}, ""
	klog.Infof("placement: group %s: lease acquired, this agent decides with token %d", p.cfg.Group.Name, token)
}

// checkRequestedMap detects that the requested map has come into force.
func (p *Placer) checkRequestedMap(snap mapswitch.Snapshot) {
	p.roundsWaited++
	if p.requestedMap.Hash == "" || snap.Map != p.requestedMap {
		return
	}
	if !p.epochRequested {
		p.state.Switches++
	}
	p.state.LastSwitchDuration = time.Since(p.requestedAt)
	klog.Infof("placement: group %s: map %d in force at the coordinator after %s",
		p.cfg.Group.Name, p.requestedMap.Version, p.state.LastSwitchDuration.Round(time.Millisecond))
	p.requestedMap, p.epochRequested = mapswitch.Ref{Version: p.requestedMap.Version}, false
}

// collect fetches the reports of all ranks concurrently.
func (p *Placer) collect(ctx context.Context) map[mapswitch.Rank]Report {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.CollectTimeout)
	defer cancel()
	var mu sync.Mutex
	var requests sync.WaitGroup
	reports := make(map[mapswitch.Rank]Report)
	for i := range p.shape.Ranks {
		rank, q := mapswitch.Rank(i), p.query(i)
		requests.Go(func() {
			r, err := p.deps.Source.Report(ctx, rank, q)
			if err != nil {
				klog.V(1).Infof("placement: group %s: no report from rank %d: %v", p.cfg.Group.Name, rank, err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			reports[rank] = r
		})
	}
	requests.Wait()
	return reports
}

func (p *Placer) query(rank int) Query {
	q := Query{Token: p.token, Skew: p.state.Skew, Counts: rank%countsInterval == p.round%countsInterval, After: -1}
	if p.estimator != nil {
		q.After = p.latestWindow - p.windowOffset - placement.AllowedLateness
	}
	// The map's content is needed from one rank only, and the ranks take turns.
	// While an engine is outside of the epoch, it is requested from all ranks.
	q.Map = rank == p.round%p.shape.Ranks || p.roundsOutside > 0
	return q
}

// updateEstimates passes the reported counts to the estimator. Window numbers of a
// new epoch continue after those of the previous one.
func (p *Placer) updateEstimates(reports map[mapswitch.Rank]Report) {
	epoch, step := latestStep(reports)
	if epoch == 0 {
		return
	}
	if epoch != p.epoch && p.estimator != nil {
		p.windowOffset = p.latestWindow + 1
	}
	p.epoch = epoch
	ended := p.windowOffset + int64(step/p.cfg.WindowSteps) - 1
	if p.estimator == nil {
		p.estimator = placement.NewEstimator(p.shape.Layers, p.shape.Experts, p.shape.Ranks, ended)
	}
	p.estimator.CloseWindow(ended)
	p.latestWindow = max(p.latestWindow, ended)
	for rank, r := range reports {
		if r.Epoch != epoch {
			continue
		}
		for _, w := range r.Windows {
			report := placement.Report{Rank: int(rank), Window: p.windowOffset + w.Window, Counts: w.Counts}
			if err := p.estimator.Observe(report); err != nil {
				klog.V(1).Infof("placement: group %s: %v", p.cfg.Group.Name, err)
			}
		}
	}
}

// latestStep returns the newest epoch that an engine runs in and the highest step
// in it.
func latestStep(reports map[mapswitch.Rank]Report) (epoch, step uint64) {
	for _, r := range reports {
		if r.Epoch > epoch {
			epoch, step = r.Epoch, 0
		}
		if r.Epoch == epoch {
			step = max(step, r.Step)
		}
	}
	return epoch, step
}
