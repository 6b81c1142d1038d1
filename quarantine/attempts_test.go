package quarantine

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/cyclamenpoint/cyclamenpoint/internal/bubble"
)

var partSeeds = flag.Int("part-seeds", 6, "histories with deadly parts that TestDeadlyParts plays")

// partHistory describes a day of entry nodes before rank groups: sound requests with
// shared parts, and requests with deadly parts, which stop the group of the engine that
// begins to answer one.
type partHistory struct {
	Seed          uint64
	Nodes, Groups int
	// Deadly is the number of deadly parts, each in DeadlyPerSecond requests a second from
	// DeadlyFrom on.
	Deadly          int
	DeadlyPerSecond float64
	DeadlyFrom      time.Duration
	// Companion is true if the requests with a deadly part have a part in common with
	// sound ones.
	Companion bool
	// OtherCrashes is the number of crashes that no request causes.
	OtherCrashes int
	// Loss is the share of facts lost on the way to a node.
	Loss float64
	// AfterFirstEvent is true if answers last longer than their first event, and engines
	// crash simCrashDelay after the first event of an answer.
	AfterFirstEvent bool
}

var partHistories = rapid.Custom(func(t *rapid.T) partHistory {
	return partHistory{
		Seed:            rapid.Uint64().Draw(t, "seed"),
		Nodes:           rapid.IntRange(2, 12).Draw(t, "nodes"),
		Groups:          rapid.IntRange(1, 3).Draw(t, "groups"),
		Deadly:          rapid.IntRange(1, 2).Draw(t, "deadly"),
		DeadlyPerSecond: rapid.Float64Range(0.5, 4).Draw(t, "per second"),
		DeadlyFrom:      time.Duration(rapid.IntRange(0, 10000).Draw(t, "from")) * time.Millisecond,
		Companion:       rapid.Bool().Draw(t, "companion"),
		OtherCrashes:    rapid.IntRange(0, 3).Draw(t, "other crashes"),
		Loss:            rapid.Float64Range(0, 0.3).Draw(t, "loss"),
	}
})

const (
	simLength       = 40 * time.Second
	simRanks        = 8
	simSharedParts  = 40
	simSoundPerSec  = 40
	simDownTime     = 4 * time.Second
	simCompareEvery = 500 * time.Millisecond
	simCrashDelay   = 20 * time.Millisecond
	// maxCrashesPerPart and minServed are the targets of the deployment.
	maxCrashesPerPart = 5
	minServed         = 0.9
)

// simGroup is a rank group. stopped is closed as one of its engines crashes.
type simGroup struct {
	stopped chan struct{}
	up      bool
	starts  uint64
}

type simNode struct {
	list     *List
	attempts *Attempts
}

type simulation struct {
	h       partHistory
	isolate bool

	mu      sync.Mutex
	rng     *rand.Rand
	groups  []*simGroup
	nodes   []*simNode
	crashes map[string]int
	// sound counts the sound requests sent while a group was up, served those answered.
	sound, served int
}

func newSimulation(h partHistory, isolate bool) *simulation {
	s := &simulation{h: h, isolate: isolate, rng: rand.New(rand.NewPCG(h.Seed, 2)), crashes: make(map[string]int)}
	for range h.Groups {
		s.groups = append(s.groups, &simGroup{stopped: make(chan struct{}), up: true})
	}
	for i := range h.Nodes {
		list, err := NewList(Config{Keep: DefaultKeep, MaxCrashes: DefaultMaxCrashes, MaxClears: DefaultMaxClears, SuspectFromSecondCrash: true})
		if err != nil {
			panic(err)
		}
		n := &simNode{list: list}
		n.attempts = NewAttempts(list, fmt.Sprintf("n%d", i), func() { s.broadcast(n) })
		s.nodes = append(s.nodes, n)
	}
	return s
}

func (s *simulation) random() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64()
}

func (s *simulation) randomInt(n int) int { return int(s.random() * float64(n)) }

// broadcast sends a node's new facts to the others, some of which do not get them.
func (s *simulation) broadcast(from *simNode) {
	facts := from.list.TakeNew()
	if len(facts.Crashes)+len(facts.Clears) == 0 {
		return
	}
	for _, n := range s.nodes {
		if n != from && s.random() >= s.h.Loss {
			time.AfterFunc(time.Duration(1+s.randomInt(4))*time.Millisecond, func() { n.attempts.Merge(facts) })
		}
	}
}

// compareFacts lets pairs of nodes exchange all facts until the end of the day.
func (s *simulation) compareFacts() {
	for range simLength / simCompareEvery {
		time.Sleep(simCompareEvery)
		for i, n := range s.nodes {
			other := s.nodes[(i+1+s.randomInt(len(s.nodes)-1))%len(s.nodes)]
			if n.list.Digest() != other.list.Digest() {
				other.attempts.Merge(n.list.Facts())
				n.attempts.Merge(other.list.Facts())
			}
		}
	}
}

// sites returns the endpoints and, for each, whether its group is up.
func (s *simulation) sites() (sites []TrialSite, up []bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for g, group := range s.groups {
		for r := range simRanks {
			sites = append(sites, TrialSite{Endpoint: fmt.Sprintf("g%d-%d", g, r), Group: fmt.Sprintf("g%d", g)})
			up = append(up, group.up)
		}
	}
	return sites, up
}

// pick returns the endpoint for a request, or -1.
func (s *simulation) pick(n *simNode, req *Request) int {
	sites, up := s.sites()
	if s.isolate {
		switch j := n.list.Judge(req); j.State {
		case Quarantined:
			return -1
		case Suspect:
			if i := SelectTrial(j, sites); i >= 0 && up[i] {
				return i
			}
			return -1
		}
	}
	start := s.randomInt(len(sites))
	for k := range sites {
		if i := (start + k) % len(sites); up[i] {
			return i
		}
	}
	return -1
}

// send makes one attempt and reports whether it was answered.
func (s *simulation) send(n *simNode, parts []string, body string) bool {
	req := NewRequest(Content{Model: "m", Body: []byte(body)}, parts)
	i := s.pick(n, req)
	if i < 0 {
		return false
	}
	sites, _ := s.sites()
	group := s.groups[i/simRanks]
	s.mu.Lock()
	stopped := group.stopped
	site := Site{Endpoint: sites[i].Endpoint, Incarnation: group.starts, Group: sites[i].Group}
	s.mu.Unlock()
	withdrawn := make(chan struct{}, 1)
	attempt := n.attempts.Begin(site, req, func() {
		select {
		case withdrawn <- struct{}{}:
		default:
		}
	})
	defer attempt.End()
	select {
	case <-time.After(100*time.Millisecond + time.Duration(s.randomInt(100))*time.Millisecond):
	case <-withdrawn:
		return false
	case <-stopped:
		return false
	}
	if s.h.AfterFirstEvent {
		attempt.Answered(true)
		rest := time.Duration(s.randomInt(800)) * time.Millisecond
		if deadlyPart(parts) != "" {
			rest = simCrashDelay
		}
		select {
		case <-time.After(rest):
		case <-stopped:
			return false
		}
	}
	if deadly := deadlyPart(parts); deadly != "" {
		s.crash(group, deadly)
		// Only the node whose connection broke can tell which engine crashed.
		time.Sleep(time.Millisecond)
		n.attempts.RecordCrash(site)
		return false
	}
	attempt.Completed()
	return true
}

func deadlyPart(parts []string) string {
	for _, p := range parts {
		if strings.HasPrefix(p, "deadly") {
			return p
		}
	}
	return ""
}

// crash stops a group, which is up again after simDownTime.
func (s *simulation) crash(group *simGroup, cause string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !group.up {
		return
	}
	s.crashes[cause]++
	group.up = false
	close(group.stopped)
	time.AfterFunc(simDownTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		group.stopped, group.up = make(chan struct{}), true
		group.starts++
	})
}

// sendSound sends a sound request and counts it if a group is up.
func (s *simulation) sendSound(i int) {
	part := s.randomInt(simSharedParts)
	possible := s.anyUp()
	n, parts, body := s.nodes[s.randomInt(len(s.nodes))], []string{fmt.Sprint("shared", part)}, fmt.Sprint("sound", i)
	served := s.send(n, parts, body)
	if !served && s.h.AfterFirstEvent {
		// A stream that is cut is resumed if a group is left.
		possible = possible && s.anyUp()
		served = s.send(n, parts, body)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if possible {
		s.sound++
		if served {
			s.served++
		}
	}
}

// anyUp reports whether a group is up.
func (s *simulation) anyUp() bool {
	_, up := s.sites()
	return slices.Contains(up, true)
}

func (s *simulation) run() {
	var wg sync.WaitGroup
	every := func(perSecond float64, from time.Duration, send func(i int)) {
		wg.Go(func() {
			time.Sleep(from)
			for i := 0; from+time.Duration(float64(i)/perSecond*float64(time.Second)) < simLength; i++ {
				wg.Go(func() { send(i) })
				time.Sleep(time.Duration(float64(time.Second) / perSecond))
			}
		})
	}
	wg.Go(s.compareFacts)
	every(simSoundPerSec, 0, s.sendSound)
	for d := range s.h.Deadly {
		every(s.h.DeadlyPerSecond, s.h.DeadlyFrom, func(i int) {
			parts := []string{fmt.Sprint("deadly", d)}
			if s.h.Companion {
				parts = append([]string{"shared0"}, parts...)
			}
			s.send(s.nodes[s.randomInt(len(s.nodes))], parts, fmt.Sprint("deadly", d, i))
		})
	}
	for i := range s.h.OtherCrashes {
		wg.Go(func() {
			time.Sleep(time.Duration(3+8*i) * time.Second)
			s.otherCrash()
		})
	}
	wg.Wait()
}

// otherCrash stops a random group for a reason other than a request.
func (s *simulation) otherCrash() {
	sites, _ := s.sites()
	i := s.randomInt(len(sites))
	group := s.groups[i/simRanks]
	s.mu.Lock()
	starts := group.starts
	s.mu.Unlock()
	s.crash(group, "other")
	for _, n := range s.nodes {
		n.attempts.RecordCrash(Site{Endpoint: sites[i].Endpoint, Incarnation: starts, Group: sites[i].Group})
	}
}

func runPartHistory(t *testing.T, h partHistory, isolate bool) (violations []string) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(h, isolate)
		s.run()
		for cause, n := range s.crashes {
			if cause != "other" && n > maxCrashesPerPart {
				violations = append(violations, fmt.Sprintf("%d crashes by %s", n, cause))
			}
		}
		if share := float64(s.served) / float64(s.sound); share < minServed {
			violations = append(violations, fmt.Sprintf("%.2f of %d sound requests served", share, s.sound))
		}
	})
	return violations
}

// TestDeadlyParts plays 40 sound requests a second beside requests with deadly parts. It
// checks that each part causes at most five crashes and that nine in ten of the sound
// requests that come while a group is up are served.
func TestDeadlyParts(t *testing.T) {
	for seed := range *partSeeds {
		violations := runPartHistory(t, partHistories.Example(seed), true)
		assert.Equal(t, strings.Join(violations, "; "), "", "seed %d", seed)
	}
}

// TestDeadlyPartsAfterFirstEvent guards against parts that crash engines again and again
// because the first event of the answer clears them.
func TestDeadlyPartsAfterFirstEvent(t *testing.T) {
	for seed := range *partSeeds {
		h := partHistories.Example(seed)
		h.AfterFirstEvent = true
		violations := runPartHistory(t, h, true)
		assert.Equal(t, strings.Join(violations, "; "), "", "seed %d", seed)
	}
}

// TestDeadlyPartsWithoutIsolation checks that the load of TestDeadlyParts breaks its
// bounds if suspects may run anywhere.
func TestDeadlyPartsWithoutIsolation(t *testing.T) {
	for seed := range 2 {
		violations := runPartHistory(t, partHistories.Example(seed), false)
		assert.Assert(t, len(violations) > 0, "seed %d", seed)
	}
}

// TestCompanionOfDeadlyPart guards against sound requests that are refused because they
// share a part with requests that crash endpoints.
func TestCompanionOfDeadlyPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newList(t, 10)
		sound, deadly := newPartRequest("sound", "shared"), newPartRequest("deadly", "shared", "bad")
		for i := range uint32(4) {
			l.Merge(crashOf(i, "g0", newPartRequest(fmt.Sprint("deadly", i), "shared", "bad")))
		}
		assert.Equal(t, l.Judge(deadly).State, Quarantined)
		assert.Equal(t, l.Judge(sound).State, Suspect)
		assert.Equal(t, SelectTrial(l.Judge(sound), []TrialSite{{"a", "g1"}, {"b", "g0"}}), 1)
		l.RecordAnswer(sound.parts[0])
		assert.Equal(t, l.Judge(sound).State, Clean)
		assert.Equal(t, l.Judge(newPartRequest("other", "bad")).State, Quarantined)
	})
}

// TestContentDoesNotExplainParts guards against a deadly part that is freed because another
// request, which was sent again after the crash, was in flight at the next one too.
func TestContentDoesNotExplainParts(t *testing.T) {
	l := newPartList(t)
	retried := newPartRequest("retried")
	first, second := crashOf(0, "g0", newPartRequest("x", "bad")), crashOf(1, "g0")
	first.Crashes[0].Fingerprints = []Fingerprint{retried.content(), newPartRequest("x").content()}
	second.Crashes[0].Fingerprints = []Fingerprint{retried.content(), newPartRequest("y").content()}
	l.Merge(first)
	l.Merge(second)
	assert.Equal(t, l.Judge(retried).State, Quarantined)
	assert.Equal(t, l.Judge(newPartRequest("x")).State, Clean)
	assert.Equal(t, l.Judge(newPartRequest("later", "bad")).State, Suspect)
}

// TestLastSuspectWaits guards against a trial that stops a group again although all other
// suspects of the crash were cleared.
func TestLastSuspectWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newList(t, 10)
		sites := []TrialSite{{"a", "g0"}, {"b", "g1"}}
		crash := crashOf(0, "g0", newPartRequest("x", "bad"), newPartRequest("y", "shared"))
		crash.Crashes[0].Established = true
		l.Merge(crash)
		bad := newPartRequest("z", "bad")
		assert.Equal(t, SelectTrial(l.Judge(bad), sites), 0)
		l.RecordAnswer(newPartRequest("y", "shared").parts[0])
		assert.Equal(t, l.Judge(bad).State, Suspect)
		assert.Equal(t, SelectTrial(l.Judge(bad), sites), -1)
		time.Sleep(lastSuspectPeriod)
		assert.Assert(t, SelectTrial(l.Judge(bad), sites) >= 0)
	})
}

// TestLongestWaitingIsTriedLast guards against a second crash because the cause is tried
// before the requests that had not waited long enough to begin.
func TestLongestWaitingIsTriedLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newList(t, 10)
		sites := []TrialSite{{"a", "g0"}}
		l.Merge(crashOf(0, "g0", newPartRequest("x", "new"), newPartRequest("y", "newer"), newPartRequest("z", "bad")))
		tried := func(part string) bool { return SelectTrial(l.Judge(newPartRequest("later", part)), sites) == 0 }
		assert.Assert(t, tried("new") && !tried("newer") && !tried("bad"))
		l.RecordAnswer(newPartRequest("x", "new").parts[0])
		assert.Assert(t, tried("newer") && !tried("bad"))
		time.Sleep(2 * trialTurn)
		assert.Assert(t, tried("bad"), "a suspect waits for ever if nobody sends the one before it")
	})
}

// TestLastSuspectWaitsForRareOnes guards against a second crash because the most probable
// cause is tried before a part that nobody sends for some time.
func TestLastSuspectWaitsForRareOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newList(t, 10)
		crash := crashOf(0, "g0", newPartRequest("x", "rare"), newPartRequest("y", "bad"))
		crash.Crashes[0].Established = true
		l.Merge(crash)
		time.Sleep(2 * trialTurn)
		assert.Equal(t, SelectTrial(l.Judge(newPartRequest("z", "bad")), []TrialSite{{"a", "g0"}}), -1)
		assert.Equal(t, SelectTrial(l.Judge(newPartRequest("z", "rare")), []TrialSite{{"a", "g0"}}), 0)
	})
}

// TestPartThatTurnsDeadly guards against a part that is cleared of each crash by answers
// from before the first one.
func TestPartThatTurnsDeadly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newList(t, 10)
		a := NewAttempts(l, "n", func() {})
		answered := a.Begin(Site{Endpoint: "e"}, newPartRequest("x", "shared"), func() {})
		answered.Completed()
		for i := range 4 {
			time.Sleep(simultaneousCrashes + time.Second)
			site := Site{Endpoint: fmt.Sprint("e", i), Group: "g0"}
			waiting := a.Begin(site, newPartRequest(fmt.Sprint("y", i), "shared"), func() {})
			a.RecordCrash(site)
			waiting.End()
			want := []State{Clean, Suspect, Quarantined, Quarantined}[i]
			assert.Equal(t, l.Judge(newPartRequest("z", "shared")).State, want, "after %d crashes", i+1)
		}
	})
}

// TestWithdrawsSuspects checks that a request with a suspect part that waits in another
// group is withdrawn when the crash becomes known.
func TestWithdrawsSuspects(t *testing.T) {
	a := NewAttempts(newPartList(t), "n", func() {})
	withdrawn := map[string]bool{}
	begin := func(name, group string, parts ...string) {
		a.Begin(Site{Endpoint: name, Group: group}, newPartRequest(name, parts...), func() { withdrawn[name] = true })
	}
	begin("same group", "g0", "bad")
	begin("other group", "g1", "bad")
	begin("other part", "g1", "shared")
	a.Merge(crashOf(0, "g0", newPartRequest("x", "bad")))
	assert.DeepEqual(t, withdrawn, map[string]bool{"other group": true})
}

// TestTrialIsNotWithdrawn guards against the trial of a suspect that never ends because each
// new fact withdraws it.
func TestTrialIsNotWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := NewAttempts(newPartList(t), "n", func() {})
		a.Merge(crashOf(0, "g0", newPartRequest("x", "bad")))
		time.Sleep(time.Second)
		a.Begin(Site{Endpoint: "e", Group: "g1"}, newPartRequest("trial", "bad"), func() { t.Error("withdrawn") })
		a.Merge(crashOf(1, "g0", newPartRequest("y", "other")))
	})
}

// TestSimultaneousCrashes guards against a popular part that is held because a rack failed,
// so that requests with it were in flight at two crashes.
func TestSimultaneousCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := NewAttempts(newPartList(t), "n", func() {})
		for range establishedAnswers {
			a.Begin(Site{Endpoint: "e"}, newPartRequest("x", "popular"), func() {}).Completed()
		}
		time.Sleep(time.Second)
		for i := range uint32(3) {
			a.Merge(crashOf(i, "g0", newPartRequest(fmt.Sprint("y", i), "popular")))
			time.Sleep(300 * time.Millisecond)
		}
		assert.Equal(t, a.list.Judge(newPartRequest("z", "popular")).State, Clean)
		time.Sleep(simultaneousCrashes)
		a.Merge(crashOf(9, "g0", newPartRequest("y9", "popular")))
		assert.Equal(t, a.list.Judge(newPartRequest("z", "popular")).State, Suspect)
	})
}

func newPartList(t *testing.T) *List {
	l, err := NewList(Config{Keep: time.Hour, MaxCrashes: 10, MaxClears: 100, SuspectFromSecondCrash: true})
	assert.NilError(t, err)
	return l
}

func newPartRequest(body string, parts ...string) *Request {
	return NewRequest(Content{Model: "m", Body: []byte(body)}, parts)
}

// crashOf returns the fact that an endpoint of a group crashed with requests in flight, of
// which each had waited longer than the one before it.
func crashOf(number uint32, group string, requests ...*Request) Facts {
	c := Crash{ID: CrashID{Endpoint: "crashed", Number: number}, Reporter: "other", Group: group, Remaining: time.Hour}
	for i, r := range requests {
		for _, fp := range r.parts {
			c.Parts = append(c.Parts, WaitingPart{Fingerprint: fp, Waited: time.Duration(i+1) * time.Millisecond})
		}
	}
	return Facts{Crashes: []Crash{c}}
}
