package queuesim

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/cyclamenpoint/cyclamenpoint/picker"
)

// Properties of an endpoint and its agent.
const (
	slots = 16
	// cachePrefixes is the number of prefixes that the cache holds.
	cachePrefixes = 60
	// eventLag is the delay until the agent gets a cache event, eventLoss the share
	// of events that it never gets.
	eventLag  = time.Second
	eventLoss = 0.1
	// smoothing is the weight of a new job in the mean duration of jobs.
	smoothing = 0.1
)

// engine is an endpoint with its agent.
type engine struct {
	index int32
	rng   *rand.Rand
	cache *simplelru.LRU[uint64, struct{}]
	// ends holds when each running job ends.
	ends []time.Duration
	// queue holds the jobs that wait for a slot.
	queue []*job
	// promptFreeAt is when the prompt processor becomes idle.
	promptFreeAt time.Duration
	// served is the number of jobs that have arrived.
	served int
	// agentView holds the prefixes that the agent assumes to be cached: those that
	// it ran, except those reported as evicted. Eviction events are late or lost.
	agentView map[uint64]struct{}
	// prompts is the number of prompts in process. promptsDoneAt is when the agent
	// expects them to be done, meanRun the smoothed duration of a job.
	prompts       int
	promptsDoneAt time.Duration
	meanRun       time.Duration
}

func newEngine(s *sim, index int32) *engine {
	e := &engine{
		index:     index,
		rng:       s.rng,
		agentView: make(map[uint64]struct{}),
		meanRun:   decodeMean,
	}
	evicted := func(prefix uint64, _ struct{}) {
		s.cacheEvent(func() { delete(e.agentView, prefix) })
		s.dropHolder(prefix, index)
	}
	// The size is a positive constant; NewLRU fails for no other reason.
	e.cache, _ = simplelru.NewLRU(cachePrefixes, evicted)
	return e
}

// matched counts the cached prefixes of a job, starting from the shortest.
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

// report returns the reply to a probe, computed from the agent's view.
func (e *engine) report(j *job, now time.Duration) picker.Load {
	load := picker.Load{Running: len(e.ends), Queued: len(e.queue), Slots: slots}
	load.Wait = max(e.promptsDoneAt-now, 0)
	if len(e.ends) == slots {
		load.Wait += e.meanRun * time.Duration(len(e.queue)+1) / slots
	}
	load.Matched = e.agentMatched(j)
	return load
}

// agentMatched counts the prefixes of a job that the agent assumes to be cached,
// starting from the shortest.
func (e *engine) agentMatched(j *job) int {
	n := 0
	for k := len(j.prefixes) - 1; k >= 0; k-- {
		if _, ok := e.agentView[j.prefixes[k]]; !ok {
			break
		}
		n++
	}
	return n
}

// arrive starts a job if a slot is free, and queues it otherwise.
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
	prompt := j.promptTime(j.matched)
	promptStart := max(s.now, e.promptFreeAt)
	first := promptStart + prompt
	e.promptFreeAt = first
	end := first + j.decode
	e.ends = append(e.ends, end)
	e.prompts++
	e.promptsDoneAt = max(s.now, e.promptsDoneAt) + j.promptTime(e.agentMatched(j))
	s.at(first, func() { e.finishPrompt(s, j) })
	s.at(end, func() { e.finishJob(s, j, end) })
}

// finishPrompt handles the first token of a job: the prompt is processed and its
// prefixes are cached.
func (e *engine) finishPrompt(s *sim, j *job) {
	e.prompts--
	if e.prompts == 0 {
		e.promptsDoneAt = s.now
	}
	for _, prefix := range j.prefixes {
		if !e.cache.Contains(prefix) {
			s.addHolder(prefix, e.index)
		}
		e.cache.Add(prefix, struct{}{})
		e.agentView[prefix] = struct{}{}
	}
	s.firstToken(e, j)
}

// finishJob frees the slot of a job and starts the next one in the queue.
func (e *engine) finishJob(s *sim, j *job, end time.Duration) {
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

// freeAt returns the exact time at which a job that arrives now gets a slot.
func (e *engine) freeAt(now time.Duration) time.Duration {
	if len(e.ends) < slots {
		return now
	}
	ends := slices.Clone(e.ends)
	slices.Sort(ends)
	return ends[min(len(e.queue), slots-1)]
}
