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
)

// fault changes one mechanism, to show that the checks see it.
type fault string

const (
	faultNone    fault = ""
	faultNoNews  fault = "news does not spread"
	faultAnyone  fault = "suspects run at any endpoint"
	faultAtOnce  fault = "suspects run together"
	faultNoClear fault = "nobody is cleared or explained"
	faultLinger  fault = "runs that broke before the crash report are not counted"
)

// history describes a deployment with one poison request and innocent ones.
type history struct {
	Seed uint64
	// Copies are the times at which a caller sends the poison request.
	Copies []time.Duration
	// Innocents is the number of innocent requests, spread over the same time.
	Innocents int
	// Spread bounds the delay of news.
	Spread time.Duration
	// Endpoints is the number of endpoints.
	Endpoints int
	// Choices is how many candidates an entry node picks among.
	Choices int
}

var histories = rapid.Custom(func(t *rapid.T) history {
	h := history{
		Seed:      rapid.Uint64().Draw(t, "seed"),
		Innocents: rapid.IntRange(0, 30).Draw(t, "innocents"),
		Spread:    time.Duration(rapid.IntRange(1, 5000).Draw(t, "spread")) * time.Millisecond,
		Endpoints: rapid.IntRange(2, 8).Draw(t, "endpoints"),
		Choices:   2,
	}
	for range rapid.IntRange(1, 12).Draw(t, "copies") {
		h.Copies = append(h.Copies, time.Duration(rapid.IntRange(0, 6000).Draw(t, "at"))*time.Millisecond)
	}
	return h
})

const (
	entryCount = 3
	poison     = Fingerprint("poison")
	detect     = 100 * time.Millisecond
	restart    = time.Second
)

type node struct {
	list *List
	gate *Gate
	// died is closed when the engine crashes; up is false until it is back.
	died chan struct{}
	up   bool
}

type deployment struct {
	h      history
	fault  fault
	mu     sync.Mutex
	rng    *rand.Rand
	names  []string
	nodes  map[string]*node
	lists  []*List
	caused int
	unfed  []string
}

func (d *deployment) draw(most time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(d.rng.Int64N(int64(most) + 1))
}

func newDeployment(h history, f fault) *deployment {
	d := &deployment{h: h, fault: f, rng: rand.New(rand.NewPCG(h.Seed, 1)), nodes: map[string]*node{}}
	for i := range h.Endpoints + entryCount {
		l, err := NewList(Config{Keep: DefaultKeep, MaxCrashes: DefaultMaxCrashes, MaxClears: DefaultMaxClears})
		if err != nil {
			panic(err)
		}
		if f == faultNoClear {
			l.judge = suspectAll
		}
		d.lists = append(d.lists, l)
		if i >= h.Endpoints {
			continue
		}
		name := fmt.Sprintf("e%d", i)
		d.names = append(d.names, name)
		here := func(fp Fingerprint) bool { return SelectTrialEndpoint(fp, d.names) == name || f == faultAnyone }
		n := &node{list: l, gate: NewGate(l, name, uint64(i+1), here), died: make(chan struct{}), up: true}
		if f == faultAtOnce {
			n.gate.token = make(chan struct{}, 100)
		}
		d.nodes[name] = n
	}
	return d
}

// suspectAll is a rule that explains no crash.
func suspectAll(crashes []fact) map[Fingerprint]State {
	out := judge(crashes)
	for _, c := range crashes {
		for fp := range c {
			out[fp] = max(out[fp], Suspect)
		}
	}
	return out
}

// spread passes a node's facts on, with a delay of its own to each other node.
func (d *deployment) spread(from *List) {
	if d.fault == faultNoNews {
		return
	}
	news := from.Facts()
	for _, l := range d.lists {
		delay := d.draw(d.h.Spread)
		time.AfterFunc(delay, func() { l.Merge(news) })
	}
}

// send makes one attempt and reports whether the answer was whole and whether
// the caller may send again.
func (d *deployment) send(fp Fingerprint) (whole, again bool) {
	entry := d.lists[d.h.Endpoints+int(d.draw(entryCount-1))]
	var target string
	switch entry.State(fp) {
	case Quarantined:
		return false, fp != poison
	case Suspect:
		target = SelectTrialEndpoint(fp, d.names)
		if d.fault == faultAnyone {
			target = d.names[d.draw(time.Duration(d.h.Endpoints-1))]
		}
	default:
		target = Candidates(fp, d.names, d.h.Choices)[d.draw(time.Duration(d.h.Choices-1))]
	}
	n := d.nodes[target]
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	pass, err := n.gate.Enter(ctx, fp)
	if err != nil {
		return false, true
	}
	d.mu.Lock()
	up, died := n.up, n.died
	d.mu.Unlock()
	if !up || pass.Start() != nil {
		pass.End(EndedIncomplete)
		return false, true
	}
	whole = d.run(n, fp, died)
	if whole {
		if d.fault == faultNoClear {
			pass.End(EndedIncomplete)
			return true, false
		}
		pass.End(EndedComplete)
		d.spread(n.list)
		return true, false
	}
	pass.End(EndedIncomplete)
	if d.fault == faultLinger {
		n.gate.mu.Lock()
		clear(n.gate.ended)
		n.gate.mu.Unlock()
	}
	return false, true
}

func (d *deployment) run(n *node, fp Fingerprint, died chan struct{}) (whole bool) {
	length := 50*time.Millisecond + d.draw(2*time.Second)
	select {
	case <-died:
		return false
	case <-time.After(length):
	}
	if fp != poison {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if n.died != died || !n.up {
		return false
	}
	d.caused++
	n.up = false
	close(died)
	time.AfterFunc(detect, func() {
		n.gate.RecordCrash()
		d.spread(n.list)
	})
	time.AfterFunc(restart, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		n.up = true
		n.died = make(chan struct{})
	})
	return false
}

// caller sends a request again and again until it is answered or refused for
// good.
func (d *deployment) caller(fp Fingerprint, at time.Duration) {
	time.Sleep(at)
	for range 60 {
		whole, again := d.send(fp)
		if whole || !again {
			return
		}
		time.Sleep(200*time.Millisecond + d.draw(2*time.Second))
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unfed = append(d.unfed, string(fp))
}

// play returns the crashes that the poison caused and the broken promises.
func play(t *testing.T, h history, f fault) (caused int, broken []string) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(h, f)
		var wg sync.WaitGroup
		for _, at := range h.Copies {
			wg.Go(func() { d.caller(poison, at) })
		}
		for i := range h.Innocents {
			at := d.draw(6 * time.Second)
			wg.Go(func() { d.caller(Fingerprint(fmt.Sprintf("innocent%d", i)), at) })
		}
		wg.Wait()
		time.Sleep(time.Minute)
		for _, fp := range d.unfed {
			broken = append(broken, "freed: no answer for "+fp)
		}
		if d.caused > crashLimit {
			broken = append(broken, fmt.Sprintf("bound: %d crashes", d.caused))
		}
		for i, l := range d.lists {
			broken = append(broken, d.settled(i, l)...)
		}
		caused = d.caused
	})
	return caused, broken
}

// settled checks what a node holds when all news has spread.
func (d *deployment) settled(i int, l *List) (broken []string) {
	if d.caused >= 2 && l.State(poison) != Quarantined {
		broken = append(broken, fmt.Sprintf("known: node %d after %d crashes", i, d.caused))
	}
	for _, e := range l.Entries() {
		if e.Fingerprint != poison {
			broken = append(broken, fmt.Sprintf("freed: node %d holds %s %s", i, e.Fingerprint, e.State))
		}
	}
	return broken
}

// TestHistories: with two candidates for each content, copies that come at any
// time through any entry node cause at most three crashes, all nodes learn of
// it, and the innocent requests are answered and freed.
func TestHistories(t *testing.T) {
	most := map[int]int{}
	rapid.Check(t, func(rt *rapid.T) {
		caused, broken := play(t, histories.Draw(rt, "history"), faultNone)
		most[caused]++
		assert.Equal(rt, strings.Join(broken, "; "), "")
	})
	t.Logf("histories by number of crashes: %v", most)
}

// TestBoundWithoutNews: with two candidates the bound holds even if no news ever
// spreads, because each endpoint's own agent remembers.
func TestBoundWithoutNews(t *testing.T) {
	for seed := range 200 {
		caused, _ := play(t, histories.Example(seed), faultNoNews)
		assert.Assert(t, caused <= crashLimit, "seed %d: %d crashes", seed, caused)
	}
}

// TestPlantedFaults shows that each fault turns a check red.
func TestPlantedFaults(t *testing.T) {
	for _, f := range []fault{faultNoNews, faultAnyone, faultAtOnce, faultNoClear, faultLinger} {
		t.Run(string(f), func(t *testing.T) {
			for seed := range 500 {
				if _, broken := play(t, histories.Example(seed), f); len(broken) > 0 {
					t.Log(seed, broken[0])
					return
				}
			}
			t.Fatal("no history shows the fault")
		})
	}
}

// TestMeasure prints the table of docs/measurements/quarantine.md: twelve
// copies of a poison request sent within a second, by number of candidates and
// by the delay of news; 0 stands for no news at all.
func TestMeasure(t *testing.T) {
	if !*measure {
		t.Skip("only with -measure")
	}
	const rounds, endpoints = 100, 16
	for _, choices := range []int{1, 2, 3, endpoints} {
		for _, spread := range []time.Duration{0, time.Millisecond, time.Second, 5 * time.Second} {
			sum, most := 0, 0
			f := faultNone
			if spread == 0 {
				f = faultNoNews
			}
			for seed := range rounds {
				h := history{Seed: uint64(seed), Innocents: 30, Spread: spread, Endpoints: endpoints, Choices: choices}
				for i := range 12 {
					h.Copies = append(h.Copies, time.Duration(i)*80*time.Millisecond)
				}
				caused, _ := play(t, h, f)
				sum += caused
				most = max(most, caused)
			}
			fmt.Printf("| %d | %v | %.2f | %d |\n", choices, spread, float64(sum)/rounds, most)
		}
	}
}
