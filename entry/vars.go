package entry

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range, in microseconds, and significant digits of a latency histogram.
const (
	minLatencyMicros = 1
	maxLatencyMicros = int64(10 * time.Minute / time.Microsecond)
	latencyDigits    = 2
)

// requestVars counts the process's requests: "requests", "answers", and one
// counter for each kind of problem.
var requestVars = expvar.NewMap("entry")

// firstTokenLatency records the times from the arrival of a request to the
// first token of its answer.
var firstTokenLatency = newLatency("entry_first_token")

// latency is a histogram of times. Its quantiles are published in milliseconds.
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
	l := &latency{histogram: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits)}
	expvar.Publish(name, expvar.Func(func() any { return l.quantiles() }))
	return l
}

// record adds one time. Times outside the histogram's range count as the
// nearest bound.
func (l *latency) record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// RecordValue fails only outside the histogram's range.
	_ = l.histogram.RecordValue(min(max(d.Microseconds(), minLatencyMicros), maxLatencyMicros))
}

func (l *latency) quantiles() quantiles {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := func(q float64) float64 { return float64(l.histogram.ValueAtQuantile(q)) / 1000 }
	return quantiles{Count: l.histogram.TotalCount(), P50: at(50), P95: at(95), P99: at(99)}
}
