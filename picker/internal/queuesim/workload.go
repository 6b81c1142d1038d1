package queuesim

import (
	"math/rand/v2"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/picker"
)

// The workload. Every prompt starts with one of the shared prefixes, and some of
// them continue a conversation.
const (
	// sharedPrefixes is the number of shared prefixes, prefixSkew the exponent of
	// their Zipf distribution.
	sharedPrefixes = 1000
	prefixSkew     = 1.05
	// Lengths of the parts of a prompt in tokens: the shared prefix, the start of a
	// conversation, and the rest, which is never cached.
	sharedTokens       = 1000
	conversationTokens = 500
	tailTokens         = 150
	// conversationShare is the share of jobs that continue a conversation,
	// conversationPeriod the mean time between two jobs of the same one, and
	// conversationEnds the probability that a job is its last.
	conversationShare  = 0.4
	conversationPeriod = 30 * time.Second
	conversationEnds   = 0.2
	// decodeMean is the mean time to generate an answer, tokensPerSecond the speed
	// of the prompt processor.
	decodeMean      = 5 * time.Second
	tokensPerSecond = 10_000
	// conversationIDBase is above the ids of all shared prefixes, so that the ids of
	// conversations differ from them. prefixMultiplier turns ids into hashes.
	conversationIDBase = 1 << 20
	prefixMultiplier   = 0x9e3779b97f4a7c15
)

// job is one request of the workload.
type job struct {
	entry int
	// prefixes are ordered from the longest; tokens holds what each adds to the next
	// shorter one.
	prefixes []uint64
	tokens   []int
	decode   time.Duration
	arrived  time.Duration
	// matched is the number of prefixes that the endpoint had cached.
	matched int
}

// promptTime returns the time to process the prompt if the given number of prefixes,
// counted from the shortest, are cached.
func (j *job) promptTime(matched int) time.Duration {
	n := tailTokens
	for k := range len(j.tokens) - matched {
		n += j.tokens[k]
	}
	return time.Duration(n) * time.Second / tokensPerSecond
}

// pickerPrefixes returns the prefixes as the picker's input.
func (j *job) pickerPrefixes() []picker.Prefix {
	prefixes := make([]picker.Prefix, len(j.prefixes))
	tokens := 0
	for k := len(j.prefixes) - 1; k >= 0; k-- {
		tokens += j.tokens[k]
		prefixes[k] = picker.Prefix{Hash: j.prefixes[k], Prefill: time.Duration(tokens) * time.Second / tokensPerSecond}
	}
	return prefixes
}

// conversation is a series of jobs with a prefix of their own after a shared one.
type conversation struct {
	id, shared uint64
}

// workload generates random jobs.
type workload struct {
	rng           *rand.Rand
	zipf          *rand.Zipf
	conversations []conversation
	next          uint64
}

func newWorkload(rng *rand.Rand, perSecond float64) *workload {
	w := &workload{rng: rng, zipf: rand.NewZipf(rng, prefixSkew, 1, sharedPrefixes-1)}
	w.conversations = make([]conversation, int(perSecond*conversationShare*conversationPeriod.Seconds())+1)
	for i := range w.conversations {
		w.conversations[i] = w.newConversation()
	}
	return w
}

func (w *workload) newConversation() conversation {
	w.next++
	return conversation{id: (conversationIDBase + w.next) * prefixMultiplier, shared: w.shared()}
}

// shared returns a random shared prefix.
func (w *workload) shared() uint64 {
	return (w.zipf.Uint64() + 1) * prefixMultiplier
}

// job returns a random job that arrives now at one of the entry nodes.
func (w *workload) job(entries int, now time.Duration) *job {
	j := &job{entry: w.rng.IntN(entries), arrived: now}
	j.decode = time.Duration(w.rng.ExpFloat64() * float64(decodeMean))
	if w.rng.Float64() >= conversationShare {
		j.prefixes = []uint64{w.shared()}
		j.tokens = []int{sharedTokens}
		return j
	}
	k := w.rng.IntN(len(w.conversations))
	c := w.conversations[k]
	j.prefixes = []uint64{c.id, c.shared}
	j.tokens = []int{conversationTokens, sharedTokens}
	if w.rng.Float64() < conversationEnds {
		w.conversations[k] = w.newConversation()
	}
	return j
}

// meanPromptTime returns the mean time to process a prompt with a cold cache.
func meanPromptTime() time.Duration {
	tokens := sharedTokens + tailTokens + conversationShare*conversationTokens
	return time.Duration(tokens * float64(time.Second) / tokensPerSecond)
}
