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

// Client speaks to the table service over HTTP. All methods may be called
// concurrently.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
}

// NewClient returns a Client that sends its requests through transport; nil
// takes a transport of its own.
func NewClient(settings Settings, transport http.RoundTripper) *Client {
	if settings.Timeout == 0 {
		settings.Timeout = DefaultTimeout
	}
	if transport == nil {
		transport = &http.Transport{MaxIdleConnsPerHost: 16, DisableCompression: true}
	}
	return &Client{base: settings.URL, timeout: settings.Timeout, http: &http.Client{Transport: transport}}
}

// answer is a complete HTTP answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// call sends one request and reads the whole answer.
func (c *Client) call(ctx context.Context, method, path string, body []byte, header http.Header) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return answer{}, UnavailableError{Reason: err.Error()}
	}
	// A write must never be sent twice behind the caller's back.
	req.GetBody = nil
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, MaxAnswerBytes))
	if err != nil {
		return answer{}, err
	}
	return answer{status: resp.StatusCode, header: resp.Header, body: data}, nil
}

// Get reads one row. Errors: NotFoundError, UnavailableError,
// RateLimitedError, BadAnswerError.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	row, _, err := c.GetIfChanged(ctx, key, "")
	return row, err
}

// GetIfChanged reads one row unless it still has etag, in which case changed
// is false and the row is empty. Errors are those of Get.
func (c *Client) GetIfChanged(ctx context.Context, key, etag string) (row Row, changed bool, err error) {
	header := http.Header{}
	if etag != "" {
		header.Set("If-None-Match", etag)
	}
	a, err := c.call(ctx, http.MethodGet, rowPath(key), nil, header)
	if err != nil {
		return Row{}, false, readFailure(err)
	}
	switch a.status {
	case http.StatusOK:
		return Row{Key: key, Value: a.body, ETag: a.header.Get("ETag")}, true, nil
	case http.StatusNotModified:
		return Row{}, false, nil
	case http.StatusNotFound:
		return Row{}, false, NotFoundError{Key: key}
	}
	return Row{}, false, readRefusal(a)
}

// List reads up to limit rows whose keys begin with prefix and follow after.
// Errors are those of Get, without NotFoundError.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) (Page, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	a, err := c.call(ctx, http.MethodGet, "/rows?"+query.Encode(), nil, nil)
	if err != nil {
		return Page{}, readFailure(err)
	}
	if a.status != http.StatusOK {
		return Page{}, readRefusal(a)
	}
	var page Page
	if err := json.Unmarshal(a.body, &page); err != nil {
		return Page{}, BadAnswerError{Status: a.status, Reason: err.Error()}
	}
	return page, nil
}

// Write applies all operations or none and returns the new entity tags in
// their order. Errors: ConflictError, UnavailableError and RateLimitedError
// prove that nothing took effect; after UnknownOutcomeError the write may have
// taken effect or may do so later.
func (c *Client) Write(ctx context.Context, ops []Op) ([]string, error) {
	if len(ops) == 1 && ops[0].Kind != KindCheck {
		return c.writeOne(ctx, ops[0])
	}
	body, err := json.Marshal(Batch{Ops: ops})
	if err != nil {
		return nil, UnavailableError{Reason: err.Error()}
	}
	header := http.Header{"Content-Type": {"application/json"}}
	a, err := c.call(ctx, http.MethodPost, "/transactions", body, header)
	if err != nil {
		return nil, writeFailure(err)
	}
	if a.status == http.StatusPreconditionFailed {
		var conflicts Conflicts
		if err := json.Unmarshal(a.body, &conflicts); err != nil {
			return nil, errors.WithStack(UnknownOutcomeError{Reason: err.Error()})
		}
		return nil, ConflictError(conflicts)
	}
	if a.status != http.StatusOK {
		return nil, writeRefusal(a)
	}
	var result BatchResult
	if err := json.Unmarshal(a.body, &result); err != nil || len(result.ETags) != len(ops) {
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
	a, err := c.call(ctx, method, rowPath(op.Key), op.Value, header)
	if err != nil {
		return nil, writeFailure(err)
	}
	switch a.status {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return []string{a.header.Get("ETag")}, nil
	case http.StatusPreconditionFailed:
		return nil, ConflictError{Keys: []string{op.Key}}
	}
	return nil, writeRefusal(a)
}

// rowPath escapes the whole key into one path segment.
func rowPath(key string) string { return "/rows/" + url.PathEscape(key) }

// readFailure types a failed exchange of a read.
func readFailure(err error) error { return UnavailableError{Reason: err.Error()} }

// writeFailure types a failed exchange of a write. Only a connection that was
// never made proves that the write had no effect.
func writeFailure(err error) error {
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

// readRefusal types a read's answer that holds no row.
func readRefusal(a answer) error {
	switch {
	case a.status == http.StatusTooManyRequests:
		return RateLimitedError{RetryAfter: retryAfter(a.header)}
	case a.status >= http.StatusInternalServerError:
		return UnavailableError{Reason: http.StatusText(a.status)}
	}
	return BadAnswerError{Status: a.status, Reason: http.StatusText(a.status)}
}

// writeRefusal types a write's answer that reports no success. A server error
// may come from something between, after the write was passed on, so that it
// proves nothing.
func writeRefusal(a answer) error {
	if a.status == http.StatusTooManyRequests {
		return RateLimitedError{RetryAfter: retryAfter(a.header)}
	}
	if a.status >= http.StatusBadRequest && a.status < http.StatusInternalServerError {
		return UnavailableError{Reason: http.StatusText(a.status)}
	}
	return UnknownOutcomeError{Reason: http.StatusText(a.status)}
}

// retryAfter reads the header's whole seconds.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
