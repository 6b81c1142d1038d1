// Package loadgen calls a model with many streams at once and records how long
// tokens take.
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
	longest = int64(time.Minute / time.Microsecond)
	digits  = 3
)

// Options describe the streams.
type Options struct {
	// URL is where the model is called, without the path.
	URL string
	// Streams is how many run at once, and Tokens how long each one is.
	Streams, Tokens int
	// StartFor is how long new streams are started. Zero runs each stream once.
	StartFor time.Duration
	// Ramp is the time over which the first streams start.
	Ramp time.Duration
	// Skip is how long streams run before their tokens are recorded.
	Skip time.Duration
}

// Result holds times in microseconds.
type Result struct {
	// FirstToken is the time from a request to its first token.
	FirstToken *hdrhistogram.Histogram
	// InterTokenGap is the time between two tokens of a stream.
	InterTokenGap *hdrhistogram.Histogram
	// Delay is the time from the engine's writing of a token other than the
	// first to its arrival; both ends need one clock.
	Delay *hdrhistogram.Histogram
	// Completed counts the streams that ended with their terminator, Failed others.
	Completed, Failed int
	// Rejected and Truncated count, of Failed, the calls that were answered with a
	// status and the streams that broke off after their first token.
	Rejected, Truncated int
	// FirstError is the first failure.
	FirstError error
}

// StatusError tells that a call was not taken.
type StatusError struct {
	Status int
	Body   string
}

// Error says what came instead.
func (e *StatusError) Error() string {
	return "status " + strconv.Itoa(e.Status) + ": " + e.Body
}

// TruncatedError tells that a stream ended without its terminator.
type TruncatedError struct{ Tokens int }

// Error says where.
func (e *TruncatedError) Error() string { return "cut off after " + strconv.Itoa(e.Tokens) + " tokens" }

// Generator runs streams.
type Generator struct {
	opts   Options
	client *http.Client
	open   atomic.Int64
	begin  time.Time

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
			FirstToken:    hdrhistogram.New(1, longest, digits),
			InterTokenGap: hdrhistogram.New(1, longest, digits),
			Delay:         hdrhistogram.New(1, longest, digits),
		},
	}
}

// OpenStreams returns how many streams have had their first token and not ended.
func (g *Generator) OpenStreams() int64 { return g.open.Load() }

// Run runs all streams and returns what was recorded.
func (g *Generator) Run(ctx context.Context) Result {
	g.begin = time.Now()
	var streams sync.WaitGroup
	for i := range g.opts.Streams {
		streams.Go(func() {
			wait(ctx, g.opts.Ramp*time.Duration(i)/time.Duration(g.opts.Streams))
			for again := true; again; again = ctx.Err() == nil && time.Since(g.begin) < g.opts.StartFor {
				g.end(g.stream(ctx))
			}
		})
	}
	streams.Wait()
	g.client.CloseIdleConnections()
	return g.result
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (g *Generator) end(err error) {
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
		return errors.Wrap(err, "build a request")
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

// read records the tokens of one answer.
func (g *Generator) read(body io.Reader, sent time.Time) error {
	reader := bufio.NewReaderSize(body, 1024)
	tokens, last := 0, sent
	defer func() {
		if tokens > 0 {
			g.open.Add(-1)
		}
	}()
	for {
		text, err := reader.ReadBytes('\n')
		if err != nil {
			return &TruncatedError{Tokens: tokens}
		}
		data, ok := bytes.CutPrefix(text, []byte("data: "))
		if !ok {
			continue
		}
		if bytes.HasPrefix(data, []byte("[DONE]")) {
			return g.drained(reader)
		}
		now := time.Now()
		g.token(tokens, now, last, data)
		if tokens == 0 {
			g.open.Add(1)
		}
		tokens, last = tokens+1, now
	}
}

// drained reads to the end of the body, so that the connection is used again.
func (g *Generator) drained(body io.Reader) error {
	_, err := io.Copy(io.Discard, body)
	return errors.Wrap(err, "read the end of a stream")
}

// token records one token.
func (g *Generator) token(i int, now, last time.Time, data []byte) {
	var chunk testbed.Chunk
	if json.Unmarshal(data, &chunk) != nil || now.Sub(g.begin) < g.opts.Skip {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if i == 0 {
		record(g.result.FirstToken, now.Sub(last))
		return
	}
	record(g.result.InterTokenGap, now.Sub(last))
	record(g.result.Delay, time.Duration(now.UnixNano()-chunk.Sent))
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// Longer times than the histogram's bound count as the bound.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), longest))
}
