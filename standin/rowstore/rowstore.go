// Package rowstore is a test stand-in for the row store of the users' platform.
// It serves reads, conditional transactions and a change feed, and can simulate
// the store's failures.
package rowstore

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Mode selects how the store responds to a caller.
type Mode int

const (
	// Normal executes requests and answers them.
	Normal Mode = iota
	// ServiceUnavailable answers 503 without executing the request.
	ServiceUnavailable
	// RateLimited answers 429 without executing the request.
	RateLimited
	// Unresponsive neither executes nor answers requests.
	Unresponsive
	// DropAnswers executes requests but never answers.
	DropAnswers
)

// row is the JSON form of a row.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"schema_version"`
	Deleted bool   `json:"deleted,omitempty"`
}

// rowsAnswer is the JSON body of an answer.
type rowsAnswer struct {
	Rows    []row  `json:"rows"`
	HasMore bool   `json:"has_more"`
	Version uint64 `json:"schema_version"`
}

// transaction is the JSON body of a write.
type transaction struct {
	Expected []row `json:"expected"`
	Puts     []row `json:"puts"`
	Remove   []row `json:"remove"`
}

// maxPageRows is the largest number of rows in a page.
const maxPageRows = 500

// Store is the stand-in. It is an http.Handler and safe for concurrent use.
type Store struct {
	mu sync.Mutex
	// era counts the restores, from 1.
	era     uint64
	version uint64
	rows    map[string]row
	changes []row
	// droppedUpTo is the newest version whose changes DropHistory has dropped.
	droppedUpTo uint64
	mode        func(ip string) Mode
	changed     chan struct{}
}

// New returns an empty store in Normal mode.
func New() *Store {
	return &Store{era: 1, version: 1, rows: make(map[string]row), mode: func(string) Mode { return Normal }, changed: make(chan struct{})}
}

// SetMode sets the function that selects the mode for a caller's IP address.
func (s *Store) SetMode(mode func(ip string) Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = mode
	// Pending feed requests wake up but stay in the mode in which they arrived.
	s.notifyChange()
}

// Put writes a row.
func (s *Store) Put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(transaction{Puts: []row{{Table: table, Key: key, Value: value}}})
}

// Remove removes a row.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(transaction{Remove: []row{{Table: table, Key: key}}})
}

// DropHistory drops the recorded changes. Feed requests for earlier versions are
// answered with status 410.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.droppedUpTo, s.changes = s.version, nil
}

// Snapshot is the content of a Store at one version.
type Snapshot struct {
	version uint64
	rows    map[string]row
}

// Snapshot returns the present content.
func (s *Store) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{version: s.version, rows: maps.Clone(s.rows)}
}

// Rows returns the number of rows of a table, and the version of the latest transaction.
func (s *Store) Rows(table string) (rows int, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.rows {
		if r.Table == table {
			rows++
		}
	}
	return rows, s.version
}

// Restore returns to an earlier content. All transactions since then are lost, their versions
// are given out again, and the next era begins.
func (s *Store) Restore(to Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.version, s.rows = to.version, maps.Clone(to.rows)
	s.changes = slices.DeleteFunc(slices.Clone(s.changes), func(r row) bool { return r.Version > to.version })
	s.droppedUpTo = min(s.droppedUpTo, to.version)
	s.notifyChange()
}

// notifyChange wakes the pending feed requests. The caller holds the lock.
func (s *Store) notifyChange() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// mapKey returns the key of a row in Store.rows.
func mapKey(r row) string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// apply executes a transaction without checking its conditions. The caller
// holds the lock.
func (s *Store) apply(tx transaction) {
	s.version++
	for _, r := range tx.Puts {
		r.Version = s.version
		s.rows[mapKey(r)] = r
		s.changes = append(s.changes, r)
	}
	for _, r := range tx.Remove {
		if _, ok := s.rows[mapKey(r)]; !ok {
			continue
		}
		delete(s.rows, mapKey(r))
		s.changes = append(s.changes, row{Table: r.Table, Part: r.Part, Key: r.Key, Version: s.version, Deleted: true})
	}
	s.notifyChange()
}

// eraHeader is the header of all answers with the era.
const eraHeader = "Store-Era"

// setEra sets the header of the era. The caller holds the lock.
func (s *Store) setEra(w http.ResponseWriter) {
	w.Header().Set(eraHeader, strconv.FormatUint(s.era, 10))
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ip, _, _ := strings.Cut(r.RemoteAddr, ":")
	s.mu.Lock()
	mode := s.mode(ip)
	s.setEra(w)
	s.mu.Unlock()
	switch mode {
	case ServiceUnavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case RateLimited:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case Unresponsive:
		<-r.Context().Done()
		return
	case DropAnswers:
		w = &discardWriter{header: http.Header{}}
		defer func() { <-r.Context().Done() }()
	}
	switch r.URL.Path {
	case "/v1/rows-get":
		s.get(w, r)
	case "/v1/rows-feed":
		s.feed(w, r)
	case "/v1/rows-tx":
		s.write(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// discardWriter is an http.ResponseWriter that discards the answer.
type discardWriter struct{ header http.Header }

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d *discardWriter) WriteHeader(int)             {}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}

// get answers with the rows of a table and part whose keys are at least from and,
// if target is given, below target.
func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit < 1 || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEra(w)
	page := rowsAnswer{Rows: []row{}, Version: s.version}
	for _, candidate := range s.rows {
		if candidate.Table == q.Get("table") && candidate.Part == q.Get("part") && candidate.Key >= q.Get("from") && (q.Get("target") == "" || candidate.Key < q.Get("target")) {
			page.Rows = append(page.Rows, candidate)
		}
	}
	slices.SortFunc(page.Rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	if len(page.Rows) > limit {
		page.Rows, page.HasMore = page.Rows[:limit], true
	}
	writeJSON(w, http.StatusOK, page)
}

// feed answers with a table's changes after a version, and waits up to wait_ms
// for the first one.
func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, errAfter := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMillis, errWait := strconv.Atoi(q.Get("wait_ms"))
	if errAfter != nil || errWait != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(waitMillis) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		// A version that was lost in a restore is unknown until it is given out again.
		unavailable, changed := after < s.droppedUpTo || after > s.version, s.changed
		s.setEra(w)
		page := rowsAnswer{Rows: []row{}, Version: s.version}
		for _, change := range s.changes {
			if change.Table == q.Get("table") && change.Version > after {
				page.Rows = append(page.Rows, change)
			}
		}
		s.mu.Unlock()
		if unavailable {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(page.Rows) > 0 {
			writeJSON(w, http.StatusOK, page)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, http.StatusOK, page)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// write executes a transaction if its expected rows have the expected versions.
// The version of a row that does not exist is 0.
func (s *Store) write(w http.ResponseWriter, r *http.Request) {
	var tx transaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEra(w)
	for _, expected := range tx.Expected {
		if s.rows[mapKey(expected)].Version != expected.Version {
			writeJSON(w, http.StatusPreconditionFailed, rowsAnswer{Rows: []row{s.rows[mapKey(expected)]}, Version: s.version})
			return
		}
	}
	s.apply(tx)
	writeJSON(w, http.StatusOK, rowsAnswer{Version: s.version})
}
