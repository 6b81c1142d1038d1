package entry

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the histogram of first tokens, in microseconds.
const (
	shortestFirst = 1
	longestFirst  = int64(10 * time.Minute / time.Microsecond)
	firstDigits   = 2
)

// figures counts the process's requests: "requests", "answers", and one counter
// for each problem type.
var figures = expvar.NewMap("entry")

// firstTokens is the time from a request's arrival to its first token.
var firstTokens = newLatency("entry_first_token")

// latency is a histogram that is published by its quantiles, in milliseconds.
type latency struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

// quantiles is the published form of a latency.
type quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
}

func newLatency(name string) *latency {
	l := &latency{histogram: hdrhistogram.New(shortestFirst, longestFirst, firstDigits)}
	expvar.Publish(name, expvar.Func(func() any { return l.quantiles() }))
	return l
}

// record counts one time; longer ones than the histogram holds count as its
// longest.
func (l *latency) record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// The value is within the histogram's bounds.
	_ = l.histogram.RecordValue(min(max(d.Microseconds(), shortestFirst), longestFirst))
}

func (l *latency) quantiles() quantiles {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := func(q float64) float64 { return float64(l.histogram.ValueAtQuantile(q)) / 1000 }
	return quantiles{Count: l.histogram.TotalCount(), P50: at(50), P95: at(95), P99: at(99)}
}
