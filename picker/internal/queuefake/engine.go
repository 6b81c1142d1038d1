package queuefake

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/cyclamenpoint/cyclamenpoint/picker"
)

// The endpoint.
const (
	slots         = 16
	cachePrefixes = 60
	eventLag      = time.Second
	eventLoss     = 0.1
	smoothing     = 0.1
)

// engine is an endpoint with the agent beside it.
type engine struct {
	index int32
	rng   *rand.Rand
	cache *simplelru.LRU[uint64, struct{}]
	// ends are the times at which running jobs end.
	ends []time.Duration
	// queue holds jobs that wait for a slot.
	queue []*job
	// promptFree is when the prompt processor has nothing left to do.
	promptFree time.Duration
	served     int
	// The agent's view: the prefixes that it ran less those of late and gappy
	// eviction events, when
	// it expects the admitted prompts to be done, and the smoothed time of a job.
	view      map[uint64]struct{}
	prompting int
	busyUntil time.Duration
	meanRun   time.Duration
}

func newEngine(s *sim, index int32) *engine {
	e := &engine{
		index:   index,
		rng:     s.rng,
		view:    make(map[uint64]struct{}),
		meanRun: decodeMean,
	}
	evicted := func(prefix uint64, _ struct{}) {
		s.cacheEvent(func() { delete(e.view, prefix) })
		s.dropHolder(prefix, index)
	}
	// The size is a positive constant; NewLRU fails for no other reason.
	e.cache, _ = simplelru.NewLRU(cachePrefixes, evicted)
	return e
}

// matched counts how many of the prefixes are cached, from the shortest.
func (e *engine) matched(j *job) int {
	n := 0
	for k := len(j.prefixes) - 1; k >= 0; k-- {
		if !e.cache.Contains(j.prefixes[k]) {
			break
		}
		n++
	}
	return n
}

// report answers a probe from the agent's view.
func (e *engine) report(j *job, now time.Duration) picker.Load {
	load := picker.Load{Running: len(e.ends), Queued: len(e.queue), Slots: slots}
	load.Wait = max(e.busyUntil-now, 0)
	if len(e.ends) == slots {
		load.Wait += e.meanRun * time.Duration(len(e.queue)+1) / slots
	}
	load.Matched = e.believed(j)
	return load
}

// believed counts how many of the prefixes the agent takes for cached.
func (e *engine) believed(j *job) int {
	n := 0
	for k := len(j.prefixes) - 1; k >= 0; k-- {
		if _, ok := e.view[j.prefixes[k]]; !ok {
			break
		}
		n++
	}
	return n
}

// arrive takes a job into a slot or the queue.
func (e *engine) arrive(s *sim, j *job) {
	e.served++
	if len(e.ends) == slots {
		e.queue = append(e.queue, j)
		return
	}
	e.start(s, j)
}

func (e *engine) start(s *sim, j *job) {
	j.matched = e.matched(j)
	prompt := j.prompt(j.matched)
	begun := max(s.now, e.promptFree)
	first := begun + prompt
	e.promptFree = first
	end := first + j.decode
	e.ends = append(e.ends, end)
	e.prompting++
	e.busyUntil = max(s.now, e.busyUntil) + j.prompt(e.believed(j))
	s.at(first, func() { e.first(s, j) })
	s.at(end, func() { e.end(s, j, end) })
}

// first is the moment of the first token.
func (e *engine) first(s *sim, j *job) {
	e.prompting--
	if e.prompting == 0 {
		e.busyUntil = s.now
	}
	for _, prefix := range j.prefixes {
		if !e.cache.Contains(prefix) {
			s.addHolder(prefix, e.index)
		}
		e.cache.Add(prefix, struct{}{})
		e.view[prefix] = struct{}{}
	}
	s.firstToken(e, j)
}

func (e *engine) end(s *sim, j *job, end time.Duration) {
	at := slices.Index(e.ends, end)
	e.ends = slices.Delete(e.ends, at, at+1)
	e.meanRun += time.Duration(smoothing * float64(j.decode-e.meanRun))
	s.finished(e, j)
	if len(e.queue) == 0 {
		return
	}
	next := e.queue[0]
	e.queue = e.queue[1:]
	e.start(s, next)
}

// freeAt is the exact time at which a job that arrived now would get a slot.
func (e *engine) freeAt(now time.Duration) time.Duration {
	if len(e.ends) < slots {
		return now
	}
	ends := slices.Clone(e.ends)
	slices.Sort(ends)
	return ends[min(len(e.queue), slots-1)]
}
