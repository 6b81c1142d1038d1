// Package engine is the agent's client of the endpoint beside it, a model
// engine or a plain service. It tells a whole answer from a broken one, and a
// slow engine from a connection that has gone silent.
package engine

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Header fields of the engines' protocol.
const (
	headerRequestID = "X-Request-Id"
	headerPriority  = "X-Priority"
	headerResume    = "X-Resume-Tokens"
)

// Limits of a call.
const (
	dialTimeout    = time.Second
	maxAnswerBytes = 16 << 20
	maxIdlePerHost = 512
	idleTimeout    = 90 * time.Second
	eventStream    = "text/event-stream"
)

// Header is one HTTP header field.
type Header struct {
	Name  string
	Value string
}

// Call is one request to the endpoint.
type Call struct {
	RequestID string
	Method    string
	Path      string
	Headers   []Header
	Body      []byte
	Priority  int32
	// ResumeTokens is the number of tokens that the caller already holds.
	ResumeTokens int64
}

// Sink takes an answer as it arrives. An error from it ends the call.
type Sink interface {
	// Head is called once, first.
	Head(status int, headers []Header) error
	// Data takes a piece of the body; tokens counts those of the whole answer
	// up to the end of data, 0 for an answer that is no stream.
	Data(data []byte, tokens int64) error
}

// NotStartedError tells that no connection to the endpoint could be made: the
// call did not run.
type NotStartedError struct {
	Address string
	Cause   error
}

// Error says what failed.
func (e *NotStartedError) Error() string {
	return "endpoint " + e.Address + " takes no connection: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *NotStartedError) Unwrap() error { return e.Cause }

// BrokenError tells that the endpoint failed after the call may have begun.
type BrokenError struct {
	Address string
	Cause   error
}

// Error says what failed.
func (e *BrokenError) Error() string {
	return "endpoint " + e.Address + " broke off: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// SinkError tells that the answer's taker failed, not the endpoint.
type SinkError struct {
	Cause error
}

// Error says what failed.
func (e *SinkError) Error() string { return "the answer's taker failed: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *SinkError) Unwrap() error { return e.Cause }

// TruncatedError tells that a stream ended without its terminator.
type TruncatedError struct{}

// Error says what was missing.
func (e *TruncatedError) Error() string { return "the stream ended without its terminator" }

// TooLargeError tells that an answer exceeds what the agent carries.
type TooLargeError struct {
	LimitBytes int
}

// Error says how much is carried.
func (e *TooLargeError) Error() string {
	return "the answer is larger than " + strconv.Itoa(e.LimitBytes) + " bytes"
}

// Client calls one endpoint. It is safe for many goroutines.
type Client struct {
	address string
	http    *http.Client
}

// NewClient returns a client of the endpoint at address, an IP:port.
func NewClient(address string) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &Client{address: address, http: &http.Client{Transport: transport}}
}

// Address returns the endpoint's address.
func (c *Client) Address() string { return c.address }

// Run makes one call. It returns nil only after a whole answer; else a
// *NotStartedError, *BrokenError, *ConnectionLostError or *SinkError.
func (c *Client) Run(ctx context.Context, call Call, sink Sink) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	req, err := c.request(ctx, call)
	if err != nil {
		return &NotStartedError{Address: c.address, Cause: err}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return c.failed(err)
	}
	defer resp.Body.Close()
	if err := sink.Head(resp.StatusCode, headersOf(resp.Header)); err != nil {
		return &SinkError{Cause: err}
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), eventStream) {
		return c.stream(ctx, call, resp.Body, sink)
	}
	return c.whole(resp.Body, sink)
}

func (c *Client) request(ctx context.Context, call Call) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+c.address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, errors.Wrap(err, "build the request")
	}
	for _, h := range call.Headers {
		req.Header.Add(h.Name, h.Value)
	}
	req.Header.Set(headerRequestID, call.RequestID)
	if call.Priority != 0 {
		req.Header.Set(headerPriority, strconv.Itoa(int(call.Priority)))
	}
	if call.ResumeTokens > 0 {
		req.Header.Set(headerResume, strconv.FormatInt(call.ResumeTokens, 10))
	}
	// The library must not repeat a call by itself: only a proof that it did
	// not run allows that.
	req.GetBody = nil
	return req, nil
}

// failed tells a call that never left from one that may have run.
func (c *Client) failed(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &NotStartedError{Address: c.address, Cause: err}
	}
	return &BrokenError{Address: c.address, Cause: err}
}

// whole passes on an answer that is no stream, once all of it is here.
func (c *Client) whole(body io.Reader, sink Sink) error {
	text, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes+1))
	if err != nil {
		return &BrokenError{Address: c.address, Cause: err}
	}
	if len(text) > maxAnswerBytes {
		return &BrokenError{Address: c.address, Cause: &TooLargeError{LimitBytes: maxAnswerBytes}}
	}
	if err := sink.Data(text, 0); err != nil {
		return &SinkError{Cause: err}
	}
	return nil
}

// hopHeaders are not passed on: they belong to one connection.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Transfer-Encoding": true,
	"Trailer": true, "Upgrade": true, "Content-Length": true, "Date": true,
}

func headersOf(h http.Header) []Header {
	var headers []Header
	for name, values := range h {
		if hopHeaders[name] {
			continue
		}
		for _, v := range values {
			headers = append(headers, Header{Name: name, Value: v})
		}
	}
	return headers
}
