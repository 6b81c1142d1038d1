// Package decision keeps a node's recent decisions, so that operators can ask
// why a request went where it went. Each decision is also one line of the log.
package decision

import (
	"fmt"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

// Component names the part of the system that decides; it is the prefix of the
// decision's log line.
type Component string

// The parts.
const (
	Dispatch   Component = "dispatch"
	Admission  Component = "admission"
	Retry      Component = "retry"
	Claim      Component = "claim"
	Quarantine Component = "quarantine"
	Placement  Component = "placement"
	Switch     Component = "switch"
)

// Entry is one decision on a request.
type Entry struct {
	RequestID string
	At        time.Time
	Component Component
	Text      string
}

// Log holds the last decisions in a ring. It is safe for many goroutines.
type Log struct {
	mu   sync.Mutex
	ring []Entry
	next int
}

// NewLog returns a log that keeps the last size decisions.
func NewLog(size int) *Log {
	return &Log{ring: make([]Entry, 0, size)}
}

// Add records a decision and writes its log line.
func (l *Log) Add(part Component, requestID, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	klog.Infof("%s: request %s: %s", part, requestID, text)
	l.keep(Entry{RequestID: requestID, At: time.Now(), Component: part, Text: text})
}

func (l *Log) keep(e Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.ring) < cap(l.ring) {
		l.ring = append(l.ring, e)
		return
	}
	l.ring[l.next] = e
	l.next = (l.next + 1) % len(l.ring)
}

// ForRequest returns the kept decisions on a request, oldest first.
func (l *Log) ForRequest(requestID string) []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []Entry
	for i := range l.ring {
		e := l.ring[(l.next+i)%len(l.ring)]
		if e.RequestID == requestID {
			found = append(found, e)
		}
	}
	return found
}
