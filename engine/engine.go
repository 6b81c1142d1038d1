// Package engine is the agent's client of its endpoint, which is a model engine
// or a plain service. It distinguishes a complete answer from one that broke
// off, and a slow engine from a dead connection.
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

	"github.com/cyclamenpoint/cyclamenpoint/upstream"
)

// Header fields of requests to an engine.
const (
	headerRequestID = "X-Request-Id"
	headerPriority  = "X-Priority"
	headerResume    = "X-Resume-Tokens"
)

// Limits of a call, and the content type of a stream.
const (
	dialTimeout     = time.Second
	maxAnswerBytes  = 16 << 20
	maxIdlePerHost  = 512
	idleTimeout     = 90 * time.Second
	eventStreamType = "text/event-stream"
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
	// ResumeTokens is the number of tokens that the caller has already
	// received. The engine continues after them.
	ResumeTokens int64
}

// Sink receives an answer as it arrives. An error of its methods ends the call.
type Sink interface {
	// Head is called once, before Data.
	Head(status int, headers []Header) error
	// Data receives the next part of the body: an event of a stream, or the
	// whole body. tokens is the number of tokens of the answer up to the end of
	// data; it is 0 if the answer is not a stream.
	Data(data []byte, tokens int64) error
}

// NotStartedError reports that the request could not be built or no connection
// to the endpoint could be made, so that the call did not run.
type NotStartedError struct {
	Address string
	Cause   error
}

// Error names the cause.
func (e *NotStartedError) Error() string {
	return "endpoint " + e.Address + " takes no connection: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *NotStartedError) Unwrap() error { return e.Cause }

// BrokenError reports that the call failed after it may have started to run.
type BrokenError struct {
	Address string
	Cause   error
}

// Error names the cause.
func (e *BrokenError) Error() string {
	return "endpoint " + e.Address + " broke off: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// SinkError reports that the sink failed, and not the endpoint.
type SinkError struct {
	Cause error
}

// Error names the cause.
func (e *SinkError) Error() string { return "the answer's taker failed: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *SinkError) Unwrap() error { return e.Cause }

// TruncatedError reports that a stream ended without its terminator.
type TruncatedError struct{}

// Error implements error.
func (e *TruncatedError) Error() string { return "the stream ended without its terminator" }

// TooLargeError reports that an answer that is not a stream exceeds the size
// limit.
type TooLargeError struct {
	LimitBytes int
}

// Error names the limit.
func (e *TooLargeError) Error() string {
	return "the answer is larger than " + strconv.Itoa(e.LimitBytes) + " bytes"
}

// Client calls one endpoint. It is safe for concurrent use.
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

// Run makes one call. It returns nil only after a complete answer. Otherwise
// the error is a *NotStartedError, *BrokenError, *ConnectionLostError or
// *SinkError.
func (c *Client) Run(ctx context.Context, call Call, sink Sink) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	req, err := c.newRequest(ctx, call)
	if err != nil {
		return &NotStartedError{Address: c.address, Cause: err}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return c.callError(err)
	}
	defer resp.Body.Close()
	if err := upstream.CheckStatus(resp.StatusCode); err != nil {
		return &BrokenError{Address: c.address, Cause: err}
	}
	if err := sink.Head(resp.StatusCode, forwardedHeaders(resp.Header)); err != nil {
		return &SinkError{Cause: err}
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), eventStreamType) {
		return c.passStream(ctx, call, resp.Body, sink)
	}
	return c.passBody(resp.Body, sink)
}

func (c *Client) newRequest(ctx context.Context, call Call) (*http.Request, error) {
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
	// Without GetBody net/http does not retry a call on its own. A call may
	// only be retried after a proof that it did not run.
	req.GetBody = nil
	return req, nil
}

// callError returns a *NotStartedError if the connection could not be made, and
// a *BrokenError if the call may have run.
func (c *Client) callError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &NotStartedError{Address: c.address, Cause: err}
	}
	return &BrokenError{Address: c.address, Cause: err}
}

// passBody reads an answer that is not a stream to its end and passes it to
// sink.
func (c *Client) passBody(body io.Reader, sink Sink) error {
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

// unforwardedHeaders are not forwarded to the caller, since they describe one
// connection or one message on it.
var unforwardedHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Transfer-Encoding": true,
	"Trailer": true, "Upgrade": true, "Content-Length": true, "Date": true,
}

// forwardedHeaders returns the header fields that are forwarded to the caller.
func forwardedHeaders(h http.Header) []Header {
	var headers []Header
	for name, values := range h {
		if unforwardedHeaders[name] {
			continue
		}
		for _, v := range values {
			headers = append(headers, Header{Name: name, Value: v})
		}
	}
	return headers
}
