// Package decision records a node's recent decisions on requests, so that
// operators can find out why a request was handled as it was. Each decision is
// also logged.
package decision

import (
	"fmt"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

// Component is the component that makes a decision. It is the prefix of the
// decision's log line.
type Component string

// The components.
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

// Log holds recent decisions in a ring buffer. It is safe for concurrent use.
type Log struct {
	mu   sync.Mutex
	ring []Entry
	// next is the index of the oldest entry once the ring is full.
	next int
}

// NewLog returns a Log that holds the last size decisions.
func NewLog(size int) *Log {
	return &Log{ring: make([]Entry, 0, size)}
}

// Add records and logs a decision on a request.
func (l *Log) Add(component Component, requestID, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	klog.Infof("%s: request %s: %s", component, requestID, text)
	l.record(Entry{RequestID: requestID, At: time.Now(), Component: component, Text: text})
}

// record adds an entry and drops the oldest one if the ring is full.
func (l *Log) record(e Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.ring) < cap(l.ring) {
		l.ring = append(l.ring, e)
		return
	}
	l.ring[l.next] = e
	l.next = (l.next + 1) % len(l.ring)
}

// ForRequest returns the recorded decisions on a request, oldest first.
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
