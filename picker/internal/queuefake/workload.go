package queuefake

import (
	"math/rand/v2"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/picker"
)

// The workload. Prompts begin with one of some shared prefixes; a part of them
// continues a conversation.
const (
	sharedPrefixes   = 1000
	prefixSkew       = 1.05
	sharedTokens     = 1000
	talkTokens       = 500
	tailTokens       = 150
	talkShare        = 0.4
	talkPeriod       = 30 * time.Second
	talkEnds         = 0.2
	decodeMean       = 5 * time.Second
	tokensPerSecond  = 10_000
	talkIDBase       = 1 << 20
	prefixMultiplier = 0x9e3779b97f4a7c15
)

// job is one request of the workload.
type job struct {
	entry int
	// prefixes are longest first.
	prefixes []uint64
	tokens   []int
	decode   time.Duration
	arrived  time.Duration
	// matched is how many of the prefixes the endpoint held.
	matched int
}

// prompt returns the time to process the prompt when the matched shortest
// prefixes are cached.
func (j *job) prompt(matched int) time.Duration {
	n := tailTokens
	for k := range len(j.tokens) - matched {
		n += j.tokens[k]
	}
	return time.Duration(n) * time.Second / tokensPerSecond
}

// request returns the prefixes as a policy takes them.
func (j *job) request() []picker.Prefix {
	prefixes := make([]picker.Prefix, len(j.prefixes))
	tokens := 0
	for k := len(j.prefixes) - 1; k >= 0; k-- {
		tokens += j.tokens[k]
		prefixes[k] = picker.Prefix{Hash: j.prefixes[k], Prefill: time.Duration(tokens) * time.Second / tokensPerSecond}
	}
	return prefixes
}

// talk is a conversation.
type talk struct {
	id, shared uint64
}

// workload draws jobs.
type workload struct {
	rng   *rand.Rand
	zipf  *rand.Zipf
	talks []talk
	next  uint64
}

func newWorkload(rng *rand.Rand, perSecond float64) *workload {
	w := &workload{rng: rng, zipf: rand.NewZipf(rng, prefixSkew, 1, sharedPrefixes-1)}
	w.talks = make([]talk, int(perSecond*talkShare*talkPeriod.Seconds())+1)
	for i := range w.talks {
		w.talks[i] = w.newTalk()
	}
	return w
}

func (w *workload) newTalk() talk {
	w.next++
	return talk{id: (talkIDBase + w.next) * prefixMultiplier, shared: w.shared()}
}

func (w *workload) shared() uint64 {
	return (w.zipf.Uint64() + 1) * prefixMultiplier
}

func (w *workload) job(entries int, now time.Duration) *job {
	j := &job{entry: w.rng.IntN(entries), arrived: now}
	j.decode = time.Duration(w.rng.ExpFloat64() * float64(decodeMean))
	if w.rng.Float64() >= talkShare {
		j.prefixes = []uint64{w.shared()}
		j.tokens = []int{sharedTokens}
		return j
	}
	k := w.rng.IntN(len(w.talks))
	t := w.talks[k]
	j.prefixes = []uint64{t.id, t.shared}
	j.tokens = []int{talkTokens, sharedTokens}
	if w.rng.Float64() < talkEnds {
		w.talks[k] = w.newTalk()
	}
	return j
}

// meanPrompt is the mean time to process a prompt with a cold cache.
func meanPrompt() time.Duration {
	tokens := sharedTokens + tailTokens + talkShare*talkTokens
	return time.Duration(tokens * float64(time.Second) / tokensPerSecond)
}
