package engine

import (
	"container/list"
	"hash/fnv"
	"sort"
	"strings"
	"sync"
	"time"
)

// blockBytes is the size of a prompt block.
const blockBytes = 64

// Rank is one engine of a group. It is safe for concurrent use.
type Rank struct {
	group *Group
	index int

	mu          sync.Mutex
	downUntil   time.Time
	waiting     []*job
	running     []*job
	jobs        map[string]*job
	cache       *prefixCache
	loadReports []loadReport
	// state is guarded by group.mu, not by mu.
	state   groupState
	started []string
	crashes int
}

// job is one request at a rank.
type job struct {
	id       string
	prompt   string
	blocks   []uint64
	priority int
	// firstToken and nextToken are positions in the answer, which has totalTokens.
	// firstToken is above zero for a resumed stream.
	firstToken  int
	nextToken   int
	totalTokens int
	// prefillSteps is the number of steps left that compute the prompt. The last
	// one computes the first token as well.
	prefillSteps int
	// tokens receives the positions of the computed tokens.
	tokens chan int
	// hung is true if the job's stream sends nothing more.
	hung bool
}

// loadReport holds the numbers of waiting and running requests after a step.
type loadReport struct {
	at      time.Time
	waiting int
	running int
}

func newRank(g *Group, index int) *Rank {
	return &Rank{
		group: g, index: index, jobs: make(map[string]*job), cache: newPrefixCache(g.opts.CacheBlocks),
		state: newGroupState(g.opts, index, 1),
	}
}

// Runs returns the IDs of the requests that the rank has started.
func (r *Rank) Runs() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.started...)
}

// Crashes returns the number of times that the rank has crashed.
func (r *Rank) Crashes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashes
}

// Active returns the number of requests that are queued or running.
func (r *Rank) Active() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.jobs)
}

// HangStreams makes all open streams stop sending without closing them. New
// streams are not affected.
func (r *Rank) HangStreams() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, j := range r.jobs {
		j.hung = true
	}
}

// Crash simulates a crash of the rank's process: its streams are aborted, and
// its cache and the experts in its memory are lost. The rank is up again after
// Options.RestartTime.
func (r *Rank) Crash() { r.crash() }

func (r *Rank) crash() {
	r.mu.Lock()
	r.crashLocked()
	r.mu.Unlock()
	r.resetState()
}

// resetState resets the group state of a crashed rank.
func (r *Rank) resetState() {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	r.state.restart(r.group.opts, r.index)
}

func (r *Rank) crashLocked() {
	r.crashes++
	r.downUntil = time.Now().Add(r.group.opts.RestartTime)
	for _, j := range r.jobs {
		close(j.tokens)
	}
	r.jobs = make(map[string]*job)
	r.waiting = nil
	r.running = nil
	r.cache = newPrefixCache(r.group.opts.CacheBlocks)
}

func (r *Rank) up() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.upLocked()
}

func (r *Rank) upLocked() bool { return !time.Now().Before(r.downUntil) }

// submit queues a request. It returns nil if the rank is down.
func (r *Rank) submit(id, prompt string, priority, firstToken, totalTokens int) *job {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.upLocked() {
		return nil
	}
	j := &job{
		id: id, prompt: prompt, blocks: blocksOf(prompt), priority: priority,
		firstToken: firstToken, nextToken: firstToken, totalTokens: totalTokens,
		// The buffer holds all tokens, so that a step never blocks on a slow reader.
		tokens: make(chan int, totalTokens-firstToken+1),
	}
	r.jobs[id] = j
	r.waiting = append(r.waiting, j)
	sort.SliceStable(r.waiting, func(a, b int) bool { return r.waiting[a].priority > r.waiting[b].priority })
	return j
}

// cancel removes a request, unless it has ended.
func (r *Rank) cancel(j *job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.jobs[j.id] != j {
		return
	}
	delete(r.jobs, j.id)
	r.waiting = removeJob(r.waiting, j)
	r.running = removeJob(r.running, j)
}

func removeJob(jobs []*job, removed *job) []*job {
	kept := jobs[:0]
	for _, j := range jobs {
		if j != removed {
			kept = append(kept, j)
		}
	}
	return kept
}

// runStep starts waiting requests and computes at most one token of each running
// request.
func (r *Rank) runStep() {
	if r.tryStep() {
		return
	}
	r.resetState()
}

// tryStep runs a step and returns false if the step crashed the rank.
func (r *Rank) tryStep() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.startWaitingLocked()
	if r.runsCrashingPromptLocked() {
		r.crashLocked()
		return false
	}
	kept := r.running[:0]
	for _, j := range r.running {
		if r.stepLocked(j) {
			kept = append(kept, j)
		}
	}
	r.running = kept
	r.loadReports = append(r.loadReports, loadReport{at: time.Now(), waiting: len(r.waiting), running: len(r.running)})
	r.trimLoadReportsLocked()
	return true
}

func (r *Rank) startWaitingLocked() {
	for len(r.waiting) > 0 && len(r.running) < r.group.opts.Slots {
		j := r.waiting[0]
		r.waiting = r.waiting[1:]
		uncached := len(j.blocks) - r.cache.match(j.blocks)
		j.prefillSteps = (uncached + r.group.opts.PrefillPerStep - 1) / r.group.opts.PrefillPerStep
		r.cache.add(j.blocks)
		r.running = append(r.running, j)
		r.started = append(r.started, j.id)
	}
}

func (r *Rank) runsCrashingPromptLocked() bool {
	if r.group.opts.CrashOn == "" {
		return false
	}
	for _, j := range r.running {
		if strings.Contains(j.prompt, r.group.opts.CrashOn) {
			return true
		}
	}
	return false
}

// stepLocked advances one request and reports whether it is still running.
func (r *Rank) stepLocked(j *job) bool {
	if j.prefillSteps > 1 {
		j.prefillSteps--
		return true
	}
	if j.nextToken < j.totalTokens {
		j.tokens <- j.nextToken
		j.nextToken++
	}
	if j.nextToken < j.totalTokens {
		return true
	}
	close(j.tokens)
	delete(r.jobs, j.id)
	return false
}

// trimLoadReportsLocked drops all reports before the latest one that is older
// than Options.ReportLag.
func (r *Rank) trimLoadReportsLocked() {
	visibleBefore := time.Now().Add(-r.group.opts.ReportLag)
	for len(r.loadReports) > 1 && r.loadReports[1].at.Before(visibleBefore) {
		r.loadReports = r.loadReports[1:]
	}
}

// blocksOf returns a hash of the prompt up to the end of each block.
func blocksOf(prompt string) []uint64 {
	h := fnv.New64a()
	var blocks []uint64
	for i := 0; i < len(prompt); i += blockBytes {
		_, _ = h.Write([]byte(prompt[i:min(i+blockBytes, len(prompt))]))
		blocks = append(blocks, h.Sum64())
	}
	return blocks
}

// prefixCache is a cache of prompt blocks with least-recently-used eviction.
type prefixCache struct {
	capacity int
	// lru holds the blocks, the most recently used first.
	lru     *list.List
	blocks  map[uint64]*list.Element
	events  []cacheEvent
	lastSeq int64
}

// cacheEvent reports that a block was stored or evicted.
type cacheEvent struct {
	Seq    int64  `json:"seq"`
	Block  uint64 `json:"block"`
	Stored bool   `json:"stored"`
	at     time.Time
}

// maxEvents is the number of cache events that are kept. Older events are lost,
// so that slow readers see a gap in the sequence.
const maxEvents = 256

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, lru: list.New(), blocks: make(map[uint64]*list.Element)}
}

// match returns the number of leading blocks that are cached.
func (c *prefixCache) match(blocks []uint64) int {
	for i, b := range blocks {
		if _, ok := c.blocks[b]; !ok {
			return i
		}
	}
	return len(blocks)
}

// add stores blocks, or marks them as used, and evicts blocks over capacity.
func (c *prefixCache) add(blocks []uint64) {
	for _, b := range blocks {
		if e, ok := c.blocks[b]; ok {
			c.lru.MoveToFront(e)
			continue
		}
		c.blocks[b] = c.lru.PushFront(b)
		c.recordEvent(b, true)
	}
	for c.lru.Len() > c.capacity {
		last := c.lru.Back()
		b := c.lru.Remove(last).(uint64)
		delete(c.blocks, b)
		c.recordEvent(b, false)
	}
}

func (c *prefixCache) recordEvent(block uint64, stored bool) {
	c.lastSeq++
	c.events = append(c.events, cacheEvent{Seq: c.lastSeq, Block: block, Stored: stored, at: time.Now()})
	if len(c.events) > maxEvents {
		c.events = c.events[1:]
	}
}
