// Package objectstore is the client of the platform's object store: whole
// objects under names, written once and never changed.
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

// Settings configure a Client.
type Settings struct {
	// URL is the base address, such as http://10.0.0.1:7001.
	URL string
	// Timeout bounds one request. Zero takes DefaultTimeout.
	Timeout time.Duration
	// MaxBytes bounds an object that is read. Zero takes DefaultMaxBytes.
	MaxBytes int64
}

// Defaults of Settings.
const (
	DefaultTimeout        = 5 * time.Second
	DefaultMaxBytes int64 = 64 << 20
)

// NotFoundError says that no object has the name.
type NotFoundError struct{ Name string }

// Error implements error.
func (e NotFoundError) Error() string {
	return fmt.Sprintf("objectstore: object %q does not exist", e.Name)
}

// ExistsError says that an object with the name exists already and was kept.
type ExistsError struct{ Name string }

// Error implements error.
func (e ExistsError) Error() string {
	return fmt.Sprintf("objectstore: object %q exists", e.Name)
}

// UnavailableError says that the request failed. A write may have taken
// effect; since objects never change it can be repeated.
type UnavailableError struct {
	Name   string
	Reason string
}

// Error implements error.
func (e UnavailableError) Error() string {
	return fmt.Sprintf("objectstore: %q unavailable: %s", e.Name, e.Reason)
}

// TooLargeError says that an object exceeds the reader's bound.
type TooLargeError struct {
	Name     string
	MaxBytes int64
}

// Error implements error.
func (e TooLargeError) Error() string {
	return fmt.Sprintf("objectstore: object %q exceeds %d bytes", e.Name, e.MaxBytes)
}

// Client speaks to the object store over HTTP. All methods may be called
// concurrently.
type Client struct {
	settings Settings
	http     *http.Client
}

// NewClient returns a Client that sends its requests through transport; nil
// takes a transport of its own.
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

// PutIfAbsent writes an object that must not exist. Errors: ExistsError,
// UnavailableError.
func (c *Client) PutIfAbsent(ctx context.Context, name string, data []byte) error {
	status, _, err := c.call(ctx, http.MethodPut, name, data)
	if err != nil {
		return err
	}
	if status == http.StatusPreconditionFailed {
		return ExistsError{Name: name}
	}
	return failure(name, status)
}

// Get reads an object whole. Errors: NotFoundError, UnavailableError,
// TooLargeError.
func (c *Client) Get(ctx context.Context, name string) ([]byte, error) {
	status, data, err := c.call(ctx, http.MethodGet, name, nil)
	if err != nil {
		return nil, err
	}
	if status == http.StatusNotFound {
		return nil, NotFoundError{Name: name}
	}
	if err := failure(name, status); err != nil {
		return nil, err
	}
	return data, nil
}

// Delete removes an object; one that does not exist counts as removed. Errors:
// UnavailableError.
func (c *Client) Delete(ctx context.Context, name string) error {
	status, _, err := c.call(ctx, http.MethodDelete, name, nil)
	if err != nil {
		return err
	}
	if status == http.StatusNotFound {
		return nil
	}
	return failure(name, status)
}

// call sends one request and reads the whole answer.
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

// failure types a status that reports no success.
func failure(name string, status int) error {
	if status >= http.StatusOK && status < http.StatusMultipleChoices {
		return nil
	}
	return UnavailableError{Name: name, Reason: http.StatusText(status)}
}
