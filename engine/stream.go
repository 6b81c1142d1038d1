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

// Terms of a stream.
const (
	maxEventBytes = 1 << 20
	eventQueue    = 64
	// silenceCheck is how long a stream may be silent before the engine is
	// asked, on another connection, what it is doing.
	silenceCheck    = time.Second
	progressTimeout = time.Second
	// progressFailures is how many questions in a row may fail.
	progressFailures = 2
	// lostAnswers is how many answers in a row have to show the engine ahead.
	// One does not prove a dead connection: its data may be on the way.
	lostAnswers = 2
	// lostTokens is how far the engine may be ahead of what has arrived.
	lostTokens = 2
)

var (
	dataPrefix = []byte("data:")
	terminator = []byte("[DONE]")
)

// ConnectionLostError tells that a stream's connection carries nothing any more while
// the engine itself answers.
type ConnectionLostError struct {
	Address string
	// Tokens is how many tokens had arrived.
	Tokens int64
}

// Error says where.
func (e *ConnectionLostError) Error() string {
	return "the connection to endpoint " + e.Address + " has gone silent"
}

// event is one server-sent event, or the stream's end.
type event struct {
	data []byte
	done bool
	err  error
}

// stream passes on a stream of events until its terminator.
func (c *Client) stream(ctx context.Context, call Call, body io.Reader, sink Sink) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	events := make(chan event, eventQueue)
	go readEvents(ctx, body, events)
	tokens := call.ResumeTokens
	watch := &silenceWatch{client: c, requestID: call.RequestID}
	timer := time.NewTimer(silenceCheck)
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
			watch.heard()
			timer.Reset(silenceCheck)
		case <-timer.C:
			if err := watch.ask(ctx, tokens); err != nil {
				return err
			}
			timer.Reset(silenceCheck)
		}
	}
}

// readEvents splits body into events. It ends with done or an error.
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

// tokensIn counts the tokens of one event: engines send one in each event that
// has content.
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

// silenceWatch decides whether a silent stream is slow or lost.
type silenceWatch struct {
	client    *Client
	requestID string
	failures  int
	ahead     int
}

func (w *silenceWatch) heard() {
	w.failures = 0
	w.ahead = 0
}

// ask asks the engine for its progress. A nil error means that the stream is
// slow and goes on.
func (w *silenceWatch) ask(ctx context.Context, tokens int64) error {
	p, err := w.client.Progress(ctx, w.requestID)
	if err != nil {
		w.failures++
		if w.failures >= progressFailures {
			return &BrokenError{Address: w.client.address, Cause: err}
		}
		return nil
	}
	w.failures = 0
	if p.Running && p.Tokens <= tokens+lostTokens {
		w.ahead = 0
		return nil
	}
	w.ahead++
	if w.ahead < lostAnswers {
		return nil
	}
	return &ConnectionLostError{Address: w.client.address, Tokens: tokens}
}

// Progress is what an engine says of one request.
type Progress struct {
	Running bool  `json:"running"`
	Tokens  int64 `json:"tokens"`
}

// Progress asks the engine how far a request is.
func (c *Client) Progress(ctx context.Context, requestID string) (Progress, error) {
	var p Progress
	err := c.getJSON(ctx, "/requests/"+url.PathEscape(requestID), &p)
	return p, err
}

// Health is what a living endpoint says of itself.
type Health struct {
	// BootID differs in each start of the endpoint; empty when it does not tell.
	BootID string `json:"boot"`
}

// Health asks the endpoint whether it lives. Errors are *NotStartedError and
// *BrokenError when no process answers, *TimeoutError when it takes too long.
func (c *Client) Health(ctx context.Context) (Health, error) {
	var h Health
	err := c.getJSON(ctx, "/health", &h)
	if err != nil && errors.Is(err, context.DeadlineExceeded) {
		return h, &TimeoutError{Address: c.address}
	}
	return h, err
}

// TimeoutError tells that the endpoint did not answer in time. It may live.
type TimeoutError struct {
	Address string
}

// Error says where.
func (e *TimeoutError) Error() string { return "endpoint " + e.Address + " does not answer in time" }

// StatusError tells that the endpoint answered with an unexpected status.
type StatusError struct {
	Address string
	Path    string
	Status  int
}

// Error says which.
func (e *StatusError) Error() string {
	return "endpoint " + e.Address + e.Path + " answers " + http.StatusText(e.Status)
}

func (c *Client) getJSON(ctx context.Context, path string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, progressTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+path, nil)
	if err != nil {
		return &NotStartedError{Address: c.address, Cause: err}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return c.failed(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &StatusError{Address: c.address, Path: path, Status: resp.StatusCode}
	}
	// An endpoint without an opinion answers with an empty body.
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil && !errors.Is(err, io.EOF) {
		return &BrokenError{Address: c.address, Cause: err}
	}
	return nil
}

// CacheEvent tells that the engine stored or dropped a prompt prefix. Events
// come late, and some never come.
type CacheEvent struct {
	Seq int64 `json:"seq"`
	// Block is the hash of the prompt up to the end of the block.
	Block  uint64 `json:"block"`
	Stored bool   `json:"stored"`
}

// CacheEvents returns the events after seq that the engine still knows.
func (c *Client) CacheEvents(ctx context.Context, seq int64) ([]CacheEvent, error) {
	var events []CacheEvent
	err := c.getJSON(ctx, "/cache/events?after="+strconv.FormatInt(seq, 10), &events)
	return events, err
}
