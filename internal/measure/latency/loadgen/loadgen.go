// Package loadgen calls a model with many concurrent streams and records the
// latency of their tokens.
package loadgen

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"github.com/cyclamenpoint/cyclamenpoint/internal/measure/latency/testbed"
)

const (
	// maxMicros is the largest value of the histograms.
	maxMicros = int64(time.Minute / time.Microsecond)
	// significantDigits is the precision of the histograms.
	significantDigits = 3
)

// Options describes the streams to run.
type Options struct {
	// URL is the base URL of the model's server, without a path.
	URL string
	// Streams is the number of concurrent streams, and Tokens the length of each
	// one.
	Streams, Tokens int
	// StartFor is the time from the start of the run in which each stream that ends
	// is followed by a new one. If it is 0, each stream runs once.
	StartFor time.Duration
	// Ramp is the time over which the first streams start.
	Ramp time.Duration
	// Skip is the time at the start of a run in which tokens are not recorded.
	Skip time.Duration
}

// Result holds the results of a run. The histograms are in microseconds.
type Result struct {
	// FirstToken is the time from a request to its first token.
	FirstToken *hdrhistogram.Histogram
	// InterTokenGap is the time between two consecutive tokens of a stream.
	InterTokenGap *hdrhistogram.Histogram
	// Delay is the time from the engine's write of a token, other than the first,
	// to its arrival. The engine and the generator must use the same clock.
	Delay *hdrhistogram.Histogram
	// Completed counts the streams that ended with their terminator, [DONE], and
	// Failed all others.
	Completed, Failed int
	// Rejected and Truncated count the calls that were answered with an error
	// status and the streams that ended without their terminator. Failed includes
	// both.
	Rejected, Truncated int
	// FirstError is the error of the stream that failed first.
	FirstError error
}

// StatusError reports that a call was answered with a status other than 200.
type StatusError struct {
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string {
	return "status " + strconv.Itoa(e.Status) + ": " + e.Body
}

// TruncatedError reports that a stream ended without its terminator after a
// number of tokens.
type TruncatedError struct{ Tokens int }

// Error implements error.
func (e *TruncatedError) Error() string { return "cut off after " + strconv.Itoa(e.Tokens) + " tokens" }

// Generator runs streams against a model.
type Generator struct {
	opts   Options
	client *http.Client
	open   atomic.Int64
	start  time.Time

	mu     sync.Mutex
	result Result
}

// New returns a generator.
func New(opts Options) *Generator {
	return &Generator{
		opts: opts,
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: opts.Streams, DisableCompression: true,
		}},
		result: Result{
			FirstToken:    hdrhistogram.New(1, maxMicros, significantDigits),
			InterTokenGap: hdrhistogram.New(1, maxMicros, significantDigits),
			Delay:         hdrhistogram.New(1, maxMicros, significantDigits),
		},
	}
}

// OpenStreams returns the number of streams that have received their first
// token and not ended.
func (g *Generator) OpenStreams() int64 { return g.open.Load() }

// Run runs all streams and returns the results.
func (g *Generator) Run(ctx context.Context) Result {
	g.start = time.Now()
	var streams sync.WaitGroup
	for i := range g.opts.Streams {
		streams.Go(func() {
			sleep(ctx, g.opts.Ramp*time.Duration(i)/time.Duration(g.opts.Streams))
			for repeat := true; repeat; repeat = ctx.Err() == nil && time.Since(g.start) < g.opts.StartFor {
				g.recordEnd(g.stream(ctx))
			}
		})
	}
	streams.Wait()
	g.client.CloseIdleConnections()
	return g.result
}

// sleep returns after d, or earlier if ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// recordEnd records the outcome of a stream.
func (g *Generator) recordEnd(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err == nil {
		g.result.Completed++
		return
	}
	g.result.Failed++
	if errors.As(err, new(*StatusError)) {
		g.result.Rejected++
	}
	if errors.As(err, new(*TruncatedError)) {
		g.result.Truncated++
	}
	if g.result.FirstError == nil {
		g.result.FirstError = err
	}
}

// stream runs one stream.
func (g *Generator) stream(ctx context.Context) error {
	body := `{"model":"` + testbed.Model + `","stream":true,"max_tokens":` + strconv.Itoa(g.opts.Tokens) + `,"messages":[{"role":"user","content":"Hello"}]}`
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, g.opts.URL+"/v1/chat/completions", bytes.NewReader([]byte(body)))
	if err != nil {
		return errors.Wrap(err, "create the request")
	}
	req.Header.Set("Authorization", "Bearer "+testbed.APIKey)
	req.Header.Set("Content-Type", "application/json")
	sent := time.Now()
	resp, err := g.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "call the model")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 500))
		return &StatusError{Status: resp.StatusCode, Body: string(text)}
	}
	return g.read(resp.Body, sent)
}

// read reads one answer and records its tokens.
func (g *Generator) read(body io.Reader, sent time.Time) error {
	reader := bufio.NewReaderSize(body, 1024)
	tokens, lastAt := 0, sent
	defer func() {
		if tokens > 0 {
			g.open.Add(-1)
		}
	}()
	for {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			return &TruncatedError{Tokens: tokens}
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			continue
		}
		if bytes.HasPrefix(data, []byte("[DONE]")) {
			return g.drain(reader)
		}
		now := time.Now()
		g.recordToken(tokens, now, lastAt, data)
		if tokens == 0 {
			g.open.Add(1)
		}
		tokens, lastAt = tokens+1, now
	}
}

// drain reads to the end of the body, so that the connection can be reused.
func (g *Generator) drain(body io.Reader) error {
	_, err := io.Copy(io.Discard, body)
	return errors.Wrap(err, "read the end of the stream")
}

// recordToken records the token with index i, which arrived at now. lastAt is
// when the token before it arrived or, for the first token, when the request
// was sent.
func (g *Generator) recordToken(i int, now, lastAt time.Time, data []byte) {
	var chunk testbed.Chunk
	if json.Unmarshal(data, &chunk) != nil || now.Sub(g.start) < g.opts.Skip {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if i == 0 {
		record(g.result.FirstToken, now.Sub(lastAt))
		return
	}
	record(g.result.InterTokenGap, now.Sub(lastAt))
	record(g.result.Delay, time.Duration(now.UnixNano()-chunk.Sent))
}

// record adds a time to a histogram. Times outside its range count as its
// smallest or largest value.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	// RecordValue fails only for values above the histogram's largest value.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxMicros))
}
