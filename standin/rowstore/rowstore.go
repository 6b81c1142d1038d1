// Package rowstore is a stand-in of the users' platform's store: rows in tables,
// their changes, and the ways in which the store fails.
package rowstore

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Mode is how the store treats a caller.
type Mode int

// The modes.
const (
	// Normal answers.
	Normal Mode = iota
	// ServiceUnavailable answers 503, RateLimited 429: nothing is done.
	ServiceUnavailable
	RateLimited
	// Unresponsive does nothing and does not answer.
	Unresponsive
	// DropAnswers does what is asked and does not answer.
	DropAnswers
)

// row is a row on the wire.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"schema_version"`
	Deleted bool   `json:"deleted,omitempty"`
}

// rowsAnswer is an answer with rows.
type rowsAnswer struct {
	Rows    []row  `json:"rows"`
	HasMore bool   `json:"has_more"`
	Version uint64 `json:"schema_version"`
}

// transaction is the body of a write.
type transaction struct {
	Expected []row `json:"expected"`
	Puts     []row `json:"puts"`
	Remove   []row `json:"remove"`
}

// maxPage is the most rows of a page.
const maxPage = 500

// Store is the stand-in. It is an http.Handler and safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	version uint64
	rows    map[string]row
	changes []row
	forgot  uint64
	mode    func(caller string) Mode
	changed chan struct{}
}

// New returns an empty store that serves everybody.
func New() *Store {
	return &Store{version: 1, rows: make(map[string]row), mode: func(string) Mode { return Normal }, changed: make(chan struct{})}
}

// SetMode decides how each caller is treated, by its IP number.
func (s *Store) SetMode(mode func(caller string) Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = mode
	// Waiting callers are treated anew.
	s.wake()
}

// Put writes a row as the operator or an endpoint does.
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

// DropHistory drops the history of changes.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgot, s.changes = s.version, nil
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func name(r row) string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// apply writes a transaction. The caller holds the lock.
func (s *Store) apply(tx transaction) {
	s.version++
	for _, r := range tx.Puts {
		r.Version = s.version
		s.rows[name(r)] = r
		s.changes = append(s.changes, r)
	}
	for _, r := range tx.Remove {
		if _, ok := s.rows[name(r)]; !ok {
			continue
		}
		delete(s.rows, name(r))
		s.changes = append(s.changes, row{Table: r.Table, Part: r.Part, Key: r.Key, Version: s.version, Deleted: true})
	}
	s.wake()
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	caller, _, _ := strings.Cut(r.RemoteAddr, ":")
	s.mu.Lock()
	mode := s.mode(caller)
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
		w = &lostAnswer{header: make(http.Header)}
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

// lostAnswer takes an answer that nobody gets.
type lostAnswer struct{ header http.Header }

func (l *lostAnswer) Header() http.Header         { return l.header }
func (l *lostAnswer) Write(p []byte) (int, error) { return len(p), nil }
func (l *lostAnswer) WriteHeader(int)             {}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that has gone does not read its answer.
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit < 1 || limit > maxPage {
		limit = maxPage
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	page := rowsAnswer{Rows: []row{}, Version: s.version}
	for _, x := range s.rows {
		if x.Table == q.Get("table") && x.Part == q.Get("part") && x.Key >= q.Get("from") && (q.Get("target") == "" || x.Key < q.Get("target")) {
			page.Rows = append(page.Rows, x)
		}
	}
	slices.SortFunc(page.Rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	if len(page.Rows) > limit {
		page.Rows, page.HasMore = page.Rows[:limit], true
	}
	answer(w, http.StatusOK, page)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err1 := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("wait_ms"))
	if err1 != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		forgot, changed := after < s.forgot, s.changed
		page := rowsAnswer{Rows: []row{}, Version: s.version}
		for _, x := range s.changes {
			if x.Table == q.Get("table") && x.Version > after {
				page.Rows = append(page.Rows, x)
			}
		}
		s.mu.Unlock()
		if forgot {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(page.Rows) > 0 {
			answer(w, http.StatusOK, page)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			answer(w, http.StatusOK, page)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) write(w http.ResponseWriter, r *http.Request) {
	var tx transaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, want := range tx.Expected {
		if s.rows[name(want)].Version != want.Version {
			answer(w, http.StatusPreconditionFailed, rowsAnswer{Rows: []row{s.rows[name(want)]}, Version: s.version})
			return
		}
	}
	s.apply(tx)
	answer(w, http.StatusOK, rowsAnswer{Version: s.version})
}
