package engine

import (
	"container/list"
	"hash/fnv"
	"sort"
	"strings"
	"sync"
	"time"
)

// blockBytes is the size of one cached prompt block, in bytes.
const blockBytes = 64

// Rank is one engine of a group.
type Rank struct {
	group *Group
	index int

	mu        sync.Mutex
	downUntil time.Time
	waiting   []*job
	running   []*job
	jobs      map[string]*job
	cache     *prefixCache
	reports   []report
	orders    orderBook
	runs      []string
	crashes   int
}

// job is one request at a rank.
type job struct {
	id       string
	prompt   string
	blocks   []uint64
	priority int
	from     int
	next     int
	total    int
	prefill  int
	tokens   chan int
	gone     bool
}

// report is a load report of some moment.
type report struct {
	at      time.Time
	waiting int
	running int
}

func newRank(g *Group, index int) *Rank {
	return &Rank{
		group: g, index: index, jobs: make(map[string]*job), cache: newPrefixCache(g.opts.CacheBlocks),
		orders: newOrderBook(g.opts, index, 1),
	}
}

// Runs returns the identifiers of the requests that this rank has begun.
func (r *Rank) Runs() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.runs...)
}

// Crashes returns how often the rank has crashed.
func (r *Rank) Crashes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashes
}

// Active returns the number of requests that wait or run.
func (r *Rank) Active() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.jobs)
}

// HangStreams makes open streams go silent for good while new ones work.
func (r *Rank) HangStreams() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, j := range r.jobs {
		j.gone = true
	}
}

// Crash ends the rank's process: its streams break and its cache is lost. It
// comes back after Options.RestartTime.
func (r *Rank) Crash() { r.crash() }

func (r *Rank) crash() {
	r.mu.Lock()
	r.crashLocked()
	r.mu.Unlock()
	r.forget()
}

// forget ends the crashed process's part in its collective.
func (r *Rank) forget() {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	r.orders.restart(r.group.opts, r.index)
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

func (r *Rank) ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.upLocked()
}

func (r *Rank) upLocked() bool { return !time.Now().Before(r.downUntil) }

// submit queues a request, or returns nil when the rank is down.
func (r *Rank) submit(id, prompt string, priority, from, total int) *job {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.upLocked() {
		return nil
	}
	j := &job{
		id: id, prompt: prompt, blocks: blocksOf(prompt), priority: priority,
		from: from, next: from, total: total,
		// One place for each token, so that a step never waits for a reader.
		tokens: make(chan int, total-from+1),
	}
	r.jobs[id] = j
	r.waiting = append(r.waiting, j)
	sort.SliceStable(r.waiting, func(a, b int) bool { return r.waiting[a].priority > r.waiting[b].priority })
	return j
}

// cancel drops a request whose reader has gone.
func (r *Rank) cancel(j *job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.jobs[j.id] != j {
		return
	}
	delete(r.jobs, j.id)
	r.waiting = without(r.waiting, j)
	r.running = without(r.running, j)
}

func without(jobs []*job, gone *job) []*job {
	kept := jobs[:0]
	for _, j := range jobs {
		if j != gone {
			kept = append(kept, j)
		}
	}
	return kept
}

// runStep admits waiting requests and computes one token for each running one.
func (r *Rank) runStep() {
	if r.runStepSafely() {
		return
	}
	r.forget()
}

// runStepSafely returns false if the step crashed the rank.
func (r *Rank) runStepSafely() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.admitLocked()
	if r.poisonedLocked() {
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
	r.reports = append(r.reports, report{at: time.Now(), waiting: len(r.waiting), running: len(r.running)})
	r.trimReports()
	return true
}

func (r *Rank) admitLocked() {
	for len(r.waiting) > 0 && len(r.running) < r.group.opts.Slots {
		j := r.waiting[0]
		r.waiting = r.waiting[1:]
		missing := len(j.blocks) - r.cache.match(j.blocks)
		j.prefill = (missing + r.group.opts.PrefillPerStep - 1) / r.group.opts.PrefillPerStep
		r.cache.add(j.blocks)
		r.running = append(r.running, j)
		r.runs = append(r.runs, j.id)
	}
}

func (r *Rank) poisonedLocked() bool {
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

// stepLocked advances one request and tells whether it goes on.
func (r *Rank) stepLocked(j *job) bool {
	if j.prefill > 1 {
		j.prefill--
		return true
	}
	if j.next < j.total {
		j.tokens <- j.next
		j.next++
	}
	if j.next < j.total {
		return true
	}
	close(j.tokens)
	delete(r.jobs, j.id)
	return false
}

// trimReports keeps the newest report that is old enough to be shown, and all
// later ones.
func (r *Rank) trimReports() {
	old := time.Now().Add(-r.group.opts.ReportLag)
	for len(r.reports) > 1 && r.reports[1].at.Before(old) {
		r.reports = r.reports[1:]
	}
}

// blocksOf hashes the prompt's prefixes, one for each block.
func blocksOf(prompt string) []uint64 {
	h := fnv.New64a()
	var blocks []uint64
	for i := 0; i < len(prompt); i += blockBytes {
		_, _ = h.Write([]byte(prompt[i:min(i+blockBytes, len(prompt))]))
		blocks = append(blocks, h.Sum64())
	}
	return blocks
}

// prefixCache holds prompt blocks and drops the least recently used.
type prefixCache struct {
	limit  int
	order  *list.List
	blocks map[uint64]*list.Element
	events []cacheEvent
	seq    int64
}

// cacheEvent tells that a block was stored or dropped.
type cacheEvent struct {
	Seq    int64  `json:"seq"`
	Block  uint64 `json:"block"`
	Stored bool   `json:"stored"`
	at     time.Time
}

// maxEvents bounds the kept cache events; older ones are lost, which leaves a
// gap for slow readers.
const maxEvents = 256

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, order: list.New(), blocks: make(map[uint64]*list.Element)}
}

// match returns how many leading blocks are cached.
func (c *prefixCache) match(blocks []uint64) int {
	for i, b := range blocks {
		if _, ok := c.blocks[b]; !ok {
			return i
		}
	}
	return len(blocks)
}

func (c *prefixCache) add(blocks []uint64) {
	for _, b := range blocks {
		if e, ok := c.blocks[b]; ok {
			c.order.MoveToFront(e)
			continue
		}
		c.blocks[b] = c.order.PushFront(b)
		c.note(b, true)
	}
	for c.order.Len() > c.limit {
		last := c.order.Back()
		b := c.order.Remove(last).(uint64)
		delete(c.blocks, b)
		c.note(b, false)
	}
}

func (c *prefixCache) note(block uint64, stored bool) {
	c.seq++
	c.events = append(c.events, cacheEvent{Seq: c.seq, Block: block, Stored: stored, at: time.Now()})
	if len(c.events) > maxEvents {
		c.events = c.events[1:]
	}
}
