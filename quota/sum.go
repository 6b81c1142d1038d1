package quota

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Report is the demand that one entry node measured.
type Report struct {
	Entry       string
	Incarnation uint64
	// Number grows with each report of an incarnation; older ones are dropped.
	Number uint64
	Usage  map[string]Usage
}

// Sum adds up the latest reports of the entry nodes. In a small deployment every
// node sends its reports to all and keeps a Sum of all organisations; in a large
// one the node that Owner names keeps it for each organisation and answers each
// report with what Others returns. It is safe for concurrent use.
type Sum struct {
	hold time.Duration

	mu     sync.Mutex
	latest map[string]received
}

type received struct {
	Report
	at time.Time
}

// NewSum returns an empty sum. A report counts for the time hold.
func NewSum(hold time.Duration) *Sum {
	return &Sum{hold: hold, latest: make(map[string]received)}
}

// Put takes a report and tells whether it is newer than what was known. Taking
// reports twice or late changes nothing. Of two incarnations the one that is
// not known yet counts as newer: the sender makes sure that a stopped process
// sends nothing more.
func (s *Sum) Put(r Report) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.latest[r.Entry]
	if ok && old.Incarnation == r.Incarnation && old.Number >= r.Number {
		return false
	}
	s.latest[r.Entry] = received{Report: r, at: time.Now()}
	return true
}

// Others returns the sum of the other nodes' demand for each organisation that
// any node has reported.
func (s *Sum) Others(entry string) map[string]Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]Usage)
	for name, r := range s.latest {
		if time.Since(r.at) > s.hold {
			delete(s.latest, name)
			continue
		}
		for org, u := range r.Usage {
			if name == entry {
				u = Usage{}
			}
			out[org] = out[org].Add(u)
		}
	}
	return out
}

// Owner returns the entry node that sums up an organisation's demand, by
// rendezvous hashing, or "" if there are none.
func Owner(organisation string, entries []string) string {
	best, top := "", uint64(0)
	for _, e := range entries {
		score := xxhash.Sum64String(organisation + "\x00" + e)
		if best == "" || score > top || score == top && e < best {
			best, top = e, score
		}
	}
	return best
}
