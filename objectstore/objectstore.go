// Package objectstore is a client of the platform's object store. Objects have names,
// are written once and never change.
package objectstore

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"
)

// Settings configures a Client.
type Settings struct {
	// URL is the base address, such as http://10.0.0.1:7001.
	URL string
	// Timeout limits one request. Zero selects DefaultTimeout.
	Timeout time.Duration
	// MaxBytes limits the size of an object that is read. Zero selects
	// DefaultMaxBytes.
	MaxBytes int64
}

// Defaults of Settings.
const (
	DefaultTimeout        = 5 * time.Second
	DefaultMaxBytes int64 = 64 << 20
)

// NotFoundError reports that no object has the name.
type NotFoundError struct{ Name string }

// Error implements error.
func (e NotFoundError) Error() string {
	return fmt.Sprintf("objectstore: object %q does not exist", e.Name)
}

// ExistsError reports that an object with the name already exists. It was not
// changed.
type ExistsError struct{ Name string }

// Error implements error.
func (e ExistsError) Error() string {
	return fmt.Sprintf("objectstore: object %q exists", e.Name)
}

// UnavailableError reports that the request failed. A write may have taken effect. It
// can be repeated because objects never change.
type UnavailableError struct {
	Name   string
	Reason string
}

// Error implements error.
func (e UnavailableError) Error() string {
	return fmt.Sprintf("objectstore: %q unavailable: %s", e.Name, e.Reason)
}

// TooLargeError reports that an object exceeds Settings.MaxBytes.
type TooLargeError struct {
	Name     string
	MaxBytes int64
}

// Error implements error.
func (e TooLargeError) Error() string {
	return fmt.Sprintf("objectstore: object %q exceeds %d bytes", e.Name, e.MaxBytes)
}

// Client is a client of the object store over HTTP. It is safe for concurrent use.
type Client struct {
	settings Settings
	http     *http.Client
}

// NewClient returns a Client that sends its requests through transport. If transport
// is nil, the Client uses its own.
func NewClient(settings Settings, transport http.RoundTripper) *Client {
	if settings.Timeout == 0 {
		settings.Timeout = DefaultTimeout
	}
	if settings.MaxBytes == 0 {
		settings.MaxBytes = DefaultMaxBytes
	}
	if transport == nil {
		transport = &http.Transport{MaxIdleConnsPerHost: 16, DisableCompression: true}
	}
	return &Client{settings: settings, http: &http.Client{Transport: transport}}
}

// PutIfAbsent writes an object unless one with the name exists. Errors: ExistsError,
// UnavailableError.
func (c *Client) PutIfAbsent(ctx context.Context, name string, data []byte) error {
	status, _, err := c.call(ctx, http.MethodPut, name, data)
	if err != nil {
		return err
	}
	if status == http.StatusPreconditionFailed {
		return ExistsError{Name: name}
	}
	return statusError(name, status)
}

// Get reads a complete object. Errors: NotFoundError, UnavailableError,
// TooLargeError.
func (c *Client) Get(ctx context.Context, name string) ([]byte, error) {
	status, data, err := c.call(ctx, http.MethodGet, name, nil)
	if err != nil {
		return nil, err
	}
	if status == http.StatusNotFound {
		return nil, NotFoundError{Name: name}
	}
	if err := statusError(name, status); err != nil {
		return nil, err
	}
	return data, nil
}

// Delete removes an object. It succeeds if the object does not exist. Errors:
// UnavailableError.
func (c *Client) Delete(ctx context.Context, name string) error {
	status, _, err := c.call(ctx, http.MethodDelete, name, nil)
	if err != nil {
		return err
	}
	if status == http.StatusNotFound {
		return nil
	}
	return statusError(name, status)
}

// call sends one request and returns the status and the body of the response.
func (c *Client) call(ctx context.Context, method, name string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.Timeout)
	defer cancel()
	address := c.settings.URL + "/objects/" + url.PathEscape(name)
	req, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return 0, nil, UnavailableError{Name: name, Reason: err.Error()}
	}
	if method == http.MethodPut {
		req.Header.Set("If-None-Match", "*")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, UnavailableError{Name: name, Reason: err.Error()}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, c.settings.MaxBytes+1))
	if err != nil {
		return 0, nil, UnavailableError{Name: name, Reason: err.Error()}
	}
	if int64(len(data)) > c.settings.MaxBytes {
		return 0, nil, TooLargeError{Name: name, MaxBytes: c.settings.MaxBytes}
	}
	return resp.StatusCode, data, nil
}

// statusError returns nil for a successful status, and an UnavailableError otherwise.
func statusError(name string, status int) error {
	if status >= http.StatusOK && status < http.StatusMultipleChoices {
		return nil
	}
	return UnavailableError{Name: name, Reason: http.StatusText(status)}
}
