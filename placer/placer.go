// Package placer is the duty of a rank group's agents that decides the group's
// expert map. Only the agent that holds the group's lease acts: it collects
// what the engines report on their experts, estimates the loads, lets package
// placement decide, and hands the map to package mapswitch, which has it loaded
// and puts it in force. It also asks for a new group epoch when an engine has
// restarted and runs in none.
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

// Report is what an engine reports on its experts.
type Report struct {
	// Engine is the engine process's incarnation.
	Engine  uint64
	Epoch   uint64
	Step    uint64
	InForce mapswitch.Ref
	// Map is the content of InForce, or empty.
	Map []byte
	// Loaded is the expert in each slot of the engine's memory, ordered by
	// layer, then slot.
	Loaded  []expertmap.Expert
	Windows []Window
}

// Window is what an engine counted in one window of steps of its epoch.
type Window struct {
	Window int64
	// Counts are tokens, ordered by layer, then expert.
	Counts []uint32
}

// Query asks an engine's agent for a Report.
type Query struct {
	// Token is the asking coordinator's fencing token.
	Token uint64
	// Skew is the newest estimate of the group's skew, zero for none.
	Skew float64
	// Counts asks for the windows after After.
	Counts bool
	After  int64
	// Map asks for the content of the map in force.
	Map bool
}

// Source collects reports. Report may be called from any goroutine; an error
// says that there is no report now.
type Source interface {
	Report(ctx context.Context, rank mapswitch.Rank, q Query) (Report, error)
}

// Switch is the part of mapswitch.Node that the duty needs.
type Switch interface {
	Snapshot() mapswitch.Snapshot
	SetTargetMap(m mapswitch.Map) error
	SetTargetMembers(members mapswitch.RankSet, m mapswitch.Map) error
}

// Records reads the group's durable record.
type Records interface {
	Read(ctx context.Context) (mapswitch.Record, uint64, error)
}

// Config describes a group.
type Config struct {
	Group deployment.Group
	// FailureDomains are those of the ranks, in order.
	FailureDomains []string
	// Interval is the time between two collections, CollectTimeout bounds one.
	Interval       time.Duration
	CollectTimeout time.Duration
	// WindowSteps is the number of steps of a window of load counts.
	WindowSteps uint64
	// StoreBytesPerSecond is the weight store's rate limit for the group.
	StoreBytesPerSecond float64
}

// Dependencies are what a Placer works with.
type Dependencies struct {
	Lease   mapswitch.Lease
	Switch  Switch
	Source  Source
	Records Records
}

// Status is a Placer's state for status pages.
type Status struct {
	// Active is true while this agent decides for the group.
	Active bool
	// Skew is the estimate of the skew on the map in force, zero for none.
	Skew float64
	// Changes, Moves and Bytes count what was decided here since the start,
	// Switches the decided maps that came into force, and InForce how long the
	// newest of them took.
	Changes            int64
	Moves              int64
	Bytes              int64
	Switches           int64
	LastSwitchDuration time.Duration
}

// Terms of the duty.
const (
	// countShares is one over the share of ranks that are asked for their counts
	// in each round.
	countShares = 4
	// confirmRounds is how many rounds in a row have to show an engine outside
	// of the epoch before a new epoch is asked for.
	confirmRounds = 2
	// patienceRounds is how many rounds a wanted map may take before the duty
	// decides anew.
	patienceRounds = 120
	// formRounds is how many rounds a new epoch may take.
	formRounds = 30
)

// RecordReadError says that the group's record could not be read.
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

// Placer runs the duty in one goroutine. Status may be called from any.
type Placer struct {
	cfg    Config
	ports  Dependencies
	shape  expertmap.Shape
	policy placement.Policy
	status atomic.Pointer[Status]

	// What follows belongs to Run.
	now       Status
	round     int
	token     uint64
	estimator *placement.Estimator
	// epoch is that of the estimator's newest window; base is added to the
	// windows of that epoch.
	epoch uint64
	base  int64
	// outside counts the rounds in a row that showed an engine outside of the
	// epoch.
	outside int
	// wanted is the newest map that was asked for, since is when, and waited the
	// rounds that it has taken.
	wanted  mapswitch.Ref
	since   time.Time
	waited  int
	forming bool
	// ended is the newest window that has ended.
	ended  int64
	reason placement.Reason
}

// New returns a Placer that does nothing until Run.
func New(cfg Config, ports Dependencies) *Placer {
	p := &Placer{cfg: cfg, ports: ports, policy: placement.NewPolicy(cfg.Group), shape: expertmap.Shape{
		Layers: cfg.Group.Layers, Experts: cfg.Group.Experts, Ranks: len(cfg.FailureDomains), Slots: cfg.Group.Slots,
	}}
	p.publish()
	return p
}

// Status returns the state after the newest round.
func (p *Placer) Status() Status { return *p.status.Load() }

func (p *Placer) publish() {
	now := p.now
	p.status.Store(&now)
}

// Run acts while the lease is held, until the context ends.
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

// tick runs one round, if this agent holds the lease and leads the group.
func (p *Placer) tick(ctx context.Context) {
	token, held := p.ports.Lease.Held()
	snap := p.ports.Switch.Snapshot()
	p.now.Active = held && snap.Attached
	if !p.now.Active {
		p.token, p.now.Skew = 0, 0
		return
	}
	if token != p.token {
		p.begin(token)
	}
	p.round++
	p.settle(snap)
	reports := p.collect(ctx)
	p.observe(reports)
	if len(reports) < p.shape.Ranks {
		klog.V(1).Infof("placement: group %s has %d of %d reports, no decision.", p.cfg.Group.Name, len(reports), p.shape.Ranks)
		return
	}
	if p.mustForm(snap, reports) {
		p.form(ctx, reports)
		return
	}
	p.decide(snap, reports)
}

// begin forgets what an earlier time of holding the lease has left.
func (p *Placer) begin(token uint64) {
	p.token, p.estimator, p.epoch, p.base = token, nil, 0, 0
	p.outside, p.waited, p.forming, p.ended = 0, 0, false, 0
	p.wanted, p.reason = mapswitch.Ref{Version: p.wanted.Version}, ""
	klog.Infof("placement: group %s is decided here, token %d.", p.cfg.Group.Name, token)
}

// settle notes a wanted map that has come into force.
func (p *Placer) settle(snap mapswitch.Snapshot) {
	p.waited++
	if p.wanted.Hash == "" || snap.Map != p.wanted {
		return
	}
	if !p.forming {
		p.now.Switches++
	}
	p.now.LastSwitchDuration = time.Since(p.since)
	klog.Infof("placement: group %s has map %d in force at its coordinator after %s.",
		p.cfg.Group.Name, p.wanted.Version, p.now.LastSwitchDuration.Round(time.Millisecond))
	p.wanted, p.forming = mapswitch.Ref{Version: p.wanted.Version}, false
}

// collect asks all ranks side by side, and a share of them for their counts.
func (p *Placer) collect(ctx context.Context) map[mapswitch.Rank]Report {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.CollectTimeout)
	defer cancel()
	var mu sync.Mutex
	var asked sync.WaitGroup
	reports := make(map[mapswitch.Rank]Report)
	for i := range p.shape.Ranks {
		rank, q := mapswitch.Rank(i), p.query(i)
		asked.Go(func() {
			r, err := p.ports.Source.Report(ctx, rank, q)
			if err != nil {
				klog.V(1).Infof("placement: group %s has no report of rank %d: %v", p.cfg.Group.Name, rank, err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			reports[rank] = r
		})
	}
	asked.Wait()
	return reports
}

func (p *Placer) query(rank int) Query {
	q := Query{Token: p.token, Skew: p.now.Skew, Counts: rank%countShares == p.round%countShares, After: -1}
	if p.estimator != nil {
		q.After = p.ended - p.base - placement.AllowedLateness
	}
	// One rank's copy of the map is enough; the ranks take turns.
	q.Map = rank == p.round%p.shape.Ranks || p.outside > 0
	return q
}

// observe hands the counts to the estimator. Windows go on from one epoch to
// the next.
func (p *Placer) observe(reports map[mapswitch.Rank]Report) {
	epoch, step := newest(reports)
	if epoch == 0 {
		return
	}
	if epoch != p.epoch && p.estimator != nil {
		p.base = p.ended + 1
	}
	p.epoch = epoch
	ended := p.base + int64(step/p.cfg.WindowSteps) - 1
	if p.estimator == nil {
		p.estimator = placement.NewEstimator(p.shape.Layers, p.shape.Experts, p.shape.Ranks, ended)
	}
	p.estimator.CloseWindow(ended)
	p.ended = max(p.ended, ended)
	for rank, r := range reports {
		if r.Epoch != epoch {
			continue
		}
		for _, w := range r.Windows {
			report := placement.Report{Rank: int(rank), Window: p.base + w.Window, Counts: w.Counts}
			if err := p.estimator.Observe(report); err != nil {
				klog.V(1).Infof("placement: group %s: %v", p.cfg.Group.Name, err)
			}
		}
	}
}

// newest returns the newest epoch that an engine runs in and its newest step.
func newest(reports map[mapswitch.Rank]Report) (epoch, step uint64) {
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
