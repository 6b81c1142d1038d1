package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Limits of a stream.
const (
	maxEventBytes = 1 << 20
	eventBuffer   = 64
	// stallTimeout is how long no event may arrive on a stream before the
	// engine's progress is requested on another connection.
	stallTimeout = time.Second
	// queryTimeout limits a request for progress, health or cache events.
	queryTimeout = time.Second
	// maxProgressFailures is the number of consecutive failed requests for
	// progress after which the call fails.
	maxProgressFailures = 2
	// minAheadAnswers is the number of consecutive answers by which the engine
	// has to be ahead of the stream for the connection to count as lost. After
	// one answer the data may still be in transit.
	minAheadAnswers = 2
	// maxTokensAhead is the number of tokens by which the engine may be ahead
	// of the stream.
	maxTokensAhead = 2
)

var (
	dataPrefix = []byte("data:")
	terminator = []byte("[DONE]")
)

// ConnectionLostError reports that no more events arrive on a stream's connection
// although the engine has made progress or ended the request.
type ConnectionLostError struct {
	Address string
	// Tokens is the number of tokens that have arrived.
	Tokens int64
}

// Error names the endpoint's address.
func (e *ConnectionLostError) Error() string {
	return "the connection to endpoint " + e.Address + " has gone silent"
}

// event is one server-sent event, the terminator, or the error that ended the
// stream.
type event struct {
	data []byte
	done bool
	err  error
}

// passStream passes the events of a stream to sink until the terminator.
func (c *Client) passStream(ctx context.Context, call Call, body io.Reader, sink Sink) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	events := make(chan event, eventBuffer)
	go readEvents(ctx, body, events)
	tokens := call.ResumeTokens
	stall := &stallDetector{client: c, requestID: call.RequestID}
	timer := time.NewTimer(stallTimeout)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return &BrokenError{Address: c.address, Cause: ctx.Err()}
		case ev := <-events:
			if ev.err != nil {
				return &BrokenError{Address: c.address, Cause: ev.err}
			}
			if ev.done {
				return nil
			}
			tokens += tokensIn(ev.data)
			if err := sink.Data(ev.data, tokens); err != nil {
				return &SinkError{Cause: err}
			}
			stall.reset()
			timer.Reset(stallTimeout)
		case <-timer.C:
			if err := stall.check(ctx, tokens); err != nil {
				return err
			}
			timer.Reset(stallTimeout)
		}
	}
}

// readEvents parses body into events. The last one is the terminator or an
// error.
func readEvents(ctx context.Context, body io.Reader, events chan<- event) {
	send := func(ev event) bool {
		select {
		case events <- ev:
			return true
		case <-ctx.Done():
			return false
		}
	}
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	for scanner.Scan() {
		payload, ok := bytes.CutPrefix(scanner.Bytes(), dataPrefix)
		if !ok {
			continue
		}
		payload = bytes.TrimSpace(payload)
		if bytes.Equal(payload, terminator) {
			send(event{done: true})
			return
		}
		if !send(event{data: bytes.Clone(payload)}) {
			return
		}
	}
	err := scanner.Err()
	if err == nil {
		err = &TruncatedError{}
	}
	send(event{err: err})
}

// tokensIn returns the number of tokens in one event. Engines send one token in
// each event that has content.
func tokensIn(data []byte) int64 {
	var chunk struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if json.Unmarshal(data, &chunk) != nil || len(chunk.Choices) == 0 {
		return 0
	}
	if chunk.Choices[0].Delta.Content == "" {
		return 0
	}
	return 1
}

// stallDetector decides whether a stream without events is slow or has lost its
// connection.
type stallDetector struct {
	client       *Client
	requestID    string
	failures     int
	aheadAnswers int
}

// reset is called after each event.
func (d *stallDetector) reset() {
	d.failures = 0
	d.aheadAnswers = 0
}

// check requests the engine's progress. It returns nil if the stream is only
// slow, so that the call continues.
func (d *stallDetector) check(ctx context.Context, tokens int64) error {
	p, err := d.client.Progress(ctx, d.requestID)
	if err != nil {
		d.failures++
		if d.failures >= maxProgressFailures {
			return &BrokenError{Address: d.client.address, Cause: err}
		}
		return nil
	}
	d.failures = 0
	if p.Running && p.Tokens <= tokens+maxTokensAhead {
		d.aheadAnswers = 0
		return nil
	}
	d.aheadAnswers++
	if d.aheadAnswers < minAheadAnswers {
		return nil
	}
	return &ConnectionLostError{Address: d.client.address, Tokens: tokens}
}

// Progress is an engine's answer about one request.
type Progress struct {
	Running bool  `json:"running"`
	Tokens  int64 `json:"tokens"`
}

// Progress requests the engine's progress of a request.
func (c *Client) Progress(ctx context.Context, requestID string) (Progress, error) {
	var p Progress
	err := c.getJSON(ctx, "/requests/"+url.PathEscape(requestID), &p)
	return p, err
}

// Health is an endpoint's answer to a health check.
type Health struct {
	// BootID identifies one start of the endpoint. It is empty if the endpoint
	// reports none.
	BootID string `json:"boot"`
}

// Health checks the endpoint. Errors are *NotStartedError and *BrokenError if
// the connection fails, *StatusError after a status other than 200, and
// *TimeoutError if no answer arrives in time.
func (c *Client) Health(ctx context.Context) (Health, error) {
	var h Health
	err := c.getJSON(ctx, "/health", &h)
	if err != nil && errors.Is(err, context.DeadlineExceeded) {
		return h, &TimeoutError{Address: c.address}
	}
	return h, err
}

// TimeoutError reports that the endpoint did not answer in time. It may be
// slow, and need not have crashed.
type TimeoutError struct {
	Address string
}

// Error names the endpoint's address.
func (e *TimeoutError) Error() string { return "endpoint " + e.Address + " does not answer in time" }

// StatusError reports that the endpoint answered with a status other than 200.
type StatusError struct {
	Address string
	Path    string
	Status  int
}

// Error names the request and the status.
func (e *StatusError) Error() string {
	return "endpoint " + e.Address + e.Path + " answers " + http.StatusText(e.Status)
}

// getJSON requests path and decodes the answer into out.
func (c *Client) getJSON(ctx context.Context, path string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+path, nil)
	if err != nil {
		return &NotStartedError{Address: c.address, Cause: err}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return c.callError(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &StatusError{Address: c.address, Path: path, Status: resp.StatusCode}
	}
	// An endpoint that has nothing to report answers with an empty body.
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil && !errors.Is(err, io.EOF) {
		return &BrokenError{Address: c.address, Cause: err}
	}
	return nil
}

// CacheEvent reports that the engine stored or evicted a prompt prefix. Events
// may be delayed or lost.
type CacheEvent struct {
	Seq int64 `json:"seq"`
	// Block is the hash of the prompt up to the end of the block.
	Block  uint64 `json:"block"`
	Stored bool   `json:"stored"`
}

// CacheEvents returns the events after number seq that the engine still stores.
func (c *Client) CacheEvents(ctx context.Context, seq int64) ([]CacheEvent, error) {
	var events []CacheEvent
	err := c.getJSON(ctx, "/cache/events?after="+strconv.FormatInt(seq, 10), &events)
	return events, err
}
