package quota

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Report is the demand measured by one entry node.
type Report struct {
	Entry       string
	Incarnation uint64
	// Number increases with each report of an incarnation. Reports with a lower
	// number than the latest are ignored.
	Number uint64
	Usage  map[string]Usage
}

// Sum adds up the latest reports of the entry nodes. It is safe for concurrent use.
//
// In a small deployment every entry node sends its reports to all others, and each
// keeps a Sum of all organisations. In a large deployment the demand of an
// organisation is reported only to the node that Owner returns. That node keeps
// the organisation's Sum and responds to each report with the result of Others.
type Sum struct {
	reportTTL time.Duration

	mu     sync.Mutex
	latest map[string]received
}

type received struct {
	Report
	at time.Time
}

// NewSum returns an empty Sum. A report is used until it is older than reportTTL.
func NewSum(reportTTL time.Duration) *Sum {
	return &Sum{reportTTL: reportTTL, latest: make(map[string]received)}
}

// Put stores a report and returns true. Duplicate and late reports of the stored
// incarnation are ignored, and Put returns false. A report of another incarnation
// counts as newer; the sender must ensure that a stopped process sends no more
// reports.
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

// Others returns the total demand at the nodes other than entry, for each
// organisation in any node's report. The total of an organisation that only entry
// reports is zero.
func (s *Sum) Others(entry string) map[string]Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]Usage)
	for name, r := range s.latest {
		if time.Since(r.at) > s.reportTTL {
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

// Owner returns the entry node that adds up an organisation's demand, selected by
// rendezvous hashing, or "" if there are no entry nodes.
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
