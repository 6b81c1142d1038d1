package table

import (
	"bytes"
	"context"
	"encoding/json"
	stderrors "errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Client is a client of the table service over HTTP. It is safe for concurrent use.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
}

// NewClient returns a Client that sends its requests through transport. If transport
// is nil, the Client uses its own.
func NewClient(settings Settings, transport http.RoundTripper) *Client {
	if settings.Timeout == 0 {
		settings.Timeout = DefaultTimeout
	}
	if transport == nil {
		transport = &http.Transport{MaxIdleConnsPerHost: 16, DisableCompression: true}
	}
	return &Client{base: settings.URL, timeout: settings.Timeout, http: &http.Client{Transport: transport}}
}

// response is a complete HTTP response.
type response struct {
	status int
	header http.Header
	body   []byte
}

// call sends one request and reads the complete response.
func (c *Client) call(ctx context.Context, method, path string, body []byte, header http.Header) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return response{}, UnavailableError{Reason: err.Error()}
	}
	// Without GetBody the transport cannot resend the body, so it sends a write at
	// most once.
	req.GetBody = nil
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, MaxAnswerBytes))
	if err != nil {
		return response{}, err
	}
	return response{status: resp.StatusCode, header: resp.Header, body: data}, nil
}

// Get reads one row. Errors: NotFoundError, UnavailableError,
// RateLimitedError, BadAnswerError.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	row, _, err := c.GetIfChanged(ctx, key, "")
	return row, err
}

// GetIfChanged reads one row unless its entity tag is still etag. In that case
// changed is false and the row is empty. An empty etag always reads the row. Errors
// are those of Get.
func (c *Client) GetIfChanged(ctx context.Context, key, etag string) (row Row, changed bool, err error) {
	header := http.Header{}
	if etag != "" {
		header.Set("If-None-Match", etag)
	}
	resp, err := c.call(ctx, http.MethodGet, rowPath(key), nil, header)
	if err != nil {
		return Row{}, false, readTransportError(err)
	}
	switch resp.status {
	case http.StatusOK:
		return Row{Key: key, Value: resp.body, ETag: resp.header.Get("ETag")}, true, nil
	case http.StatusNotModified:
		return Row{}, false, nil
	case http.StatusNotFound:
		return Row{}, false, NotFoundError{Key: key}
	}
	return Row{}, false, readStatusError(resp)
}

// List reads up to limit rows whose keys start with prefix and are greater than
// after. Errors are those of Get except NotFoundError.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) (Page, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	resp, err := c.call(ctx, http.MethodGet, "/rows?"+query.Encode(), nil, nil)
	if err != nil {
		return Page{}, readTransportError(err)
	}
	if resp.status != http.StatusOK {
		return Page{}, readStatusError(resp)
	}
	var page Page
	if err := json.Unmarshal(resp.body, &page); err != nil {
		return Page{}, BadAnswerError{Status: resp.status, Reason: err.Error()}
	}
	return page, nil
}

// Write applies all operations or none of them. It returns the new entity tags in the
// order of the operations. ConflictError, UnavailableError and RateLimitedError mean
// that no operation took effect. After UnknownOutcomeError the write may have taken
// effect or may still do so.
func (c *Client) Write(ctx context.Context, ops []Op) ([]string, error) {
	if len(ops) == 1 && ops[0].Kind != KindCheck {
		return c.writeOne(ctx, ops[0])
	}
	body, err := json.Marshal(Batch{Ops: ops})
	if err != nil {
		return nil, UnavailableError{Reason: err.Error()}
	}
	header := http.Header{"Content-Type": {"application/json"}}
	resp, err := c.call(ctx, http.MethodPost, "/transactions", body, header)
	if err != nil {
		return nil, writeTransportError(err)
	}
	if resp.status == http.StatusPreconditionFailed {
		var conflicts Conflicts
		if err := json.Unmarshal(resp.body, &conflicts); err != nil {
			return nil, errors.WithStack(UnknownOutcomeError{Reason: err.Error()})
		}
		return nil, ConflictError(conflicts)
	}
	if resp.status != http.StatusOK {
		return nil, writeStatusError(resp)
	}
	var result BatchResult
	if err := json.Unmarshal(resp.body, &result); err != nil || len(result.ETags) != len(ops) {
		return nil, UnknownOutcomeError{Reason: "unreadable answer"}
	}
	return result.ETags, nil
}

// writeOne sends a transaction of one operation as a plain request.
func (c *Client) writeOne(ctx context.Context, op Op) ([]string, error) {
	header := http.Header{}
	if op.IfMatch != "" {
		header.Set("If-Match", op.IfMatch)
	}
	if op.IfAbsent {
		header.Set("If-None-Match", "*")
	}
	method := http.MethodPut
	if op.Kind == KindDelete {
		method = http.MethodDelete
	}
	resp, err := c.call(ctx, method, rowPath(op.Key), op.Value, header)
	if err != nil {
		return nil, writeTransportError(err)
	}
	switch resp.status {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return []string{resp.header.Get("ETag")}, nil
	case http.StatusPreconditionFailed:
		return nil, ConflictError{Keys: []string{op.Key}}
	}
	return nil, writeStatusError(resp)
}

// rowPath returns the path of a row, with the key escaped as one path segment.
func rowPath(key string) string { return "/rows/" + url.PathEscape(key) }

// readTransportError converts the error of a read that got no complete response.
func readTransportError(err error) error { return UnavailableError{Reason: err.Error()} }

// writeTransportError converts the error of a write that got no complete response.
// Only a failure before the request was sent, such as a failure to connect, proves
// that the write had no effect.
func writeTransportError(err error) error {
	var op *net.OpError
	if stderrors.As(err, &op) && op.Op == "dial" {
		return UnavailableError{Reason: err.Error()}
	}
	var unavailable UnavailableError
	if stderrors.As(err, &unavailable) {
		return unavailable
	}
	return UnknownOutcomeError{Reason: err.Error()}
}

// readStatusError converts the response to a read that failed.
func readStatusError(resp response) error {
	switch {
	case resp.status == http.StatusTooManyRequests:
		return RateLimitedError{RetryAfter: retryAfter(resp.header)}
	case resp.status >= http.StatusInternalServerError:
		return UnavailableError{Reason: http.StatusText(resp.status)}
	}
	return BadAnswerError{Status: resp.status, Reason: http.StatusText(resp.status)}
}

// writeStatusError converts the response to a write that failed. A server error may
// come from an intermediary that has already forwarded the write, so the outcome is
// unknown.
func writeStatusError(resp response) error {
	if resp.status == http.StatusTooManyRequests {
		return RateLimitedError{RetryAfter: retryAfter(resp.header)}
	}
	if resp.status >= http.StatusBadRequest && resp.status < http.StatusInternalServerError {
		return UnavailableError{Reason: http.StatusText(resp.status)}
	}
	return UnknownOutcomeError{Reason: http.StatusText(resp.status)}
}

// retryAfter returns the Retry-After header, which holds whole seconds, or 0 if it is
// missing or invalid.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
