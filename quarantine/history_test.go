package quarantine

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/cyclamenpoint/cyclamenpoint/internal/bubble"
)

// fault disables one mechanism, to test that the checks detect it.
type fault string

const (
	faultNone         fault = ""
	faultNoExchange   fault = "facts are not exchanged"
	faultAnyEndpoint  fault = "suspects run at any endpoint"
	faultConcurrent   fault = "suspects run concurrently"
	faultNoClear      fault = "no request is cleared and no crash explained"
	faultNoLateWindow fault = "runs that ended before the crash was detected are not counted"
)

// history describes a deployment with one poison request, which crashes its
// endpoint, and innocent requests.
type history struct {
	Seed uint64
	// Copies are the times at which a caller sends a copy of the poison request.
	Copies []time.Duration
	// Innocents is the number of innocent requests, sent during the same time.
	Innocents int
	// MaxDelay limits the delay with which facts reach other nodes.
	MaxDelay time.Duration
	// Endpoints is the number of endpoints.
	Endpoints int
	// Choices is the number of candidates that an entry node selects from.
	Choices int
}

var histories = rapid.Custom(func(t *rapid.T) history {
	h := history{
		Seed:      rapid.Uint64().Draw(t, "seed"),
		Innocents: rapid.IntRange(0, 30).Draw(t, "innocents"),
		MaxDelay:  time.Duration(rapid.IntRange(1, 5000).Draw(t, "max delay")) * time.Millisecond,
		Endpoints: rapid.IntRange(2, 8).Draw(t, "endpoints"),
		Choices:   2,
	}
	for range rapid.IntRange(1, 12).Draw(t, "copies") {
		h.Copies = append(h.Copies, time.Duration(rapid.IntRange(0, 6000).Draw(t, "at"))*time.Millisecond)
	}
	return h
})

const (
	entryCount     = 3
	poison         = Fingerprint("poison")
	detectionDelay = 100 * time.Millisecond
	restartDelay   = time.Second
)

type node struct {
	list *List
	gate *Gate
	// crashed is closed when the engine crashes; up is false until it has
	// restarted.
	crashed chan struct{}
	up      bool
}

type deployment struct {
	h          history
	fault      fault
	mu         sync.Mutex
	rng        *rand.Rand
	names      []string
	nodes      map[string]*node
	lists      []*List
	crashes    int
	unanswered []string
}

func (d *deployment) randomDuration(limit time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(d.rng.Int64N(int64(limit) + 1))
}

func newDeployment(h history, f fault) *deployment {
	d := &deployment{h: h, fault: f, rng: rand.New(rand.NewPCG(h.Seed, 1)), nodes: map[string]*node{}}
	for i := range h.Endpoints + entryCount {
		l, err := NewList(Config{Keep: DefaultKeep, MaxCrashes: DefaultMaxCrashes, MaxClears: DefaultMaxClears})
		if err != nil {
			panic(err)
		}
		if f == faultNoClear {
			l.computeStates = suspectAll
		}
		d.lists = append(d.lists, l)
		if i >= h.Endpoints {
			continue
		}
		name := fmt.Sprintf("e%d", i)
		d.names = append(d.names, name)
		isTrialEndpoint := func(fp Fingerprint) bool { return SelectTrialEndpoint(fp, d.names) == name || f == faultAnyEndpoint }
		n := &node{list: l, gate: NewGate(l, name, uint64(i+1), isTrialEndpoint), crashed: make(chan struct{}), up: true}
		if f == faultConcurrent {
			n.gate.token = make(chan struct{}, 100)
		}
		d.nodes[name] = n
	}
	return d
}

// suspectAll computes states without treating any crash as explained.
func suspectAll(crashes []uncleared) map[Fingerprint]State {
	out := computeStates(crashes)
	for _, c := range crashes {
		for fp := range c {
			out[fp] = max(out[fp], Suspect)
		}
	}
	return out
}

// broadcast sends a node's facts to the other nodes, with a random delay for
// each.
func (d *deployment) broadcast(from *List) {
	if d.fault == faultNoExchange {
		return
	}
	facts := from.Facts()
	for _, l := range d.lists {
		delay := d.randomDuration(d.h.MaxDelay)
		time.AfterFunc(delay, func() { l.Merge(facts) })
	}
}

// send makes one attempt. It reports whether the answer was complete and whether
// the caller may retry.
func (d *deployment) send(fp Fingerprint) (complete, mayRetry bool) {
	entry := d.lists[d.h.Endpoints+int(d.randomDuration(entryCount-1))]
	var target string
	switch entry.State(fp) {
	case Quarantined:
		return false, fp != poison
	case Suspect:
		target = SelectTrialEndpoint(fp, d.names)
		if d.fault == faultAnyEndpoint {
			target = d.names[d.randomDuration(time.Duration(d.h.Endpoints-1))]
		}
	default:
		target = Candidates(fp, d.names, d.h.Choices)[d.randomDuration(time.Duration(d.h.Choices-1))]
	}
	n := d.nodes[target]
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	permit, err := n.gate.Enter(ctx, fp)
	if err != nil {
		return false, true
	}
	d.mu.Lock()
	up, crashed := n.up, n.crashed
	d.mu.Unlock()
	if !up || permit.Start() != nil {
		permit.End(EndedIncomplete)
		return false, true
	}
	complete = d.run(n, fp, crashed)
	if complete {
		if d.fault == faultNoClear {
			permit.End(EndedIncomplete)
			return true, false
		}
		permit.End(EndedComplete)
		d.broadcast(n.list)
		return true, false
	}
	permit.End(EndedIncomplete)
	if d.fault == faultNoLateWindow {
		n.gate.mu.Lock()
		clear(n.gate.ended)
		n.gate.mu.Unlock()
	}
	return false, true
}

func (d *deployment) run(n *node, fp Fingerprint, crashed chan struct{}) (complete bool) {
	length := 50*time.Millisecond + d.randomDuration(2*time.Second)
	select {
	case <-crashed:
		return false
	case <-time.After(length):
	}
	if fp != poison {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if n.crashed != crashed || !n.up {
		return false
	}
	d.crashes++
	n.up = false
	close(crashed)
	time.AfterFunc(detectionDelay, func() {
		n.gate.RecordCrash()
		d.broadcast(n.list)
	})
	time.AfterFunc(restartDelay, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		n.up = true
		n.crashed = make(chan struct{})
	})
	return false
}

// caller retries a request until it is answered or may not be retried.
func (d *deployment) caller(fp Fingerprint, at time.Duration) {
	time.Sleep(at)
	for range 60 {
		complete, mayRetry := d.send(fp)
		if complete || !mayRetry {
			return
		}
		time.Sleep(200*time.Millisecond + d.randomDuration(2*time.Second))
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unanswered = append(d.unanswered, string(fp))
}

// runHistory returns the number of crashes that the poison request caused and the
// violations.
func runHistory(t *testing.T, h history, f fault) (crashes int, violations []string) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(h, f)
		var wg sync.WaitGroup
		for _, at := range h.Copies {
			wg.Go(func() { d.caller(poison, at) })
		}
		for i := range h.Innocents {
			at := d.randomDuration(6 * time.Second)
			wg.Go(func() { d.caller(Fingerprint(fmt.Sprintf("innocent%d", i)), at) })
		}
		wg.Wait()
		time.Sleep(time.Minute)
		for _, fp := range d.unanswered {
			violations = append(violations, "answers: no answer for "+fp)
		}
		if d.crashes > crashLimit {
			violations = append(violations, fmt.Sprintf("bound: %d crashes", d.crashes))
		}
		for i, l := range d.lists {
			violations = append(violations, d.checkConverged(i, l)...)
		}
		crashes = d.crashes
	})
	return crashes, violations
}

// checkConverged checks the states at a node after all facts were exchanged.
func (d *deployment) checkConverged(i int, l *List) (violations []string) {
	if d.crashes >= 2 && l.State(poison) != Quarantined {
		violations = append(violations, fmt.Sprintf("quarantine: not at node %d after %d crashes", i, d.crashes))
	}
	for _, e := range l.Entries() {
		if e.Fingerprint != poison {
			violations = append(violations, fmt.Sprintf("clearance: node %d holds %s as %s", i, e.Fingerprint, e.State))
		}
	}
	return violations
}

// TestRandomHistories checks that with two candidates for each content, copies
// that arrive at any time through any entry node cause at most three crashes, that
// all nodes quarantine the poison request, and that the innocent requests are
// answered and cleared.
func TestRandomHistories(t *testing.T) {
	histogram := map[int]int{}
	rapid.Check(t, func(rt *rapid.T) {
		crashes, violations := runHistory(t, histories.Draw(rt, "history"), faultNone)
		histogram[crashes]++
		assert.Equal(rt, strings.Join(violations, "; "), "")
	})
	t.Logf("histories by number of crashes: %v", histogram)
}

// TestBoundWithoutExchange checks that with two candidates the limit on crashes
// holds even if nodes exchange no facts, because each agent keeps the crashes of
// its own endpoint.
func TestBoundWithoutExchange(t *testing.T) {
	for seed := range 200 {
		crashes, _ := runHistory(t, histories.Example(seed), faultNoExchange)
		assert.Assert(t, crashes <= crashLimit, "seed %d: %d crashes", seed, crashes)
	}
}

// TestInjectedFaults checks that each injected fault is detected.
func TestInjectedFaults(t *testing.T) {
	for _, f := range []fault{faultNoExchange, faultAnyEndpoint, faultConcurrent, faultNoClear, faultNoLateWindow} {
		t.Run(string(f), func(t *testing.T) {
			for seed := range 500 {
				if _, violations := runHistory(t, histories.Example(seed), f); len(violations) > 0 {
					t.Log(seed, violations[0])
					return
				}
			}
			t.Fatal("no history detects the fault")
		})
	}
}

// TestMeasure prints the table in docs/measurements/quarantine.md: the crashes
// caused by twelve copies of a poison request sent within a second, by number of
// candidates and maximum delay of facts. A delay of 0 means no exchange.
func TestMeasure(t *testing.T) {
	if !*measure {
		t.Skip("only with -measure")
	}
	const rounds, endpoints = 100, 16
	for _, choices := range []int{1, 2, 3, endpoints} {
		for _, maxDelay := range []time.Duration{0, time.Millisecond, time.Second, 5 * time.Second} {
			sum, maximum := 0, 0
			f := faultNone
			if maxDelay == 0 {
				f = faultNoExchange
			}
			for seed := range rounds {
				h := history{Seed: uint64(seed), Innocents: 30, MaxDelay: maxDelay, Endpoints: endpoints, Choices: choices}
				for i := range 12 {
					h.Copies = append(h.Copies, time.Duration(i)*80*time.Millisecond)
				}
				crashes, _ := runHistory(t, h, f)
				sum += crashes
				maximum = max(maximum, crashes)
			}
			fmt.Printf("| %d | %v | %.2f | %d |\n", choices, maxDelay, float64(sum)/rounds, maximum)
		}
	}
}
