// Package vmlist is the client of the platform's list of VMs. The list lags:
// a VM that is shown as live may have gone, and a new one may be missing.
package vmlist

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// State is what the platform says of a VM.
type State string

// The states of a VM.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// VM is one VM of the list.
type VM struct {
	// Name identifies the VM; a replacement keeps it.
	Name string `json:"name"`
	// FailureDomain and Region tell where the VM stands.
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	// Address is the IP number of the VM.
	Address string `json:"address"`
	State   State  `json:"state"`
}

// Settings configure a Client.
type Settings struct {
	// URL is the base address, such as http://10.0.0.1:7002.
	URL string
	// Timeout bounds one request. Zero takes DefaultTimeout.
	Timeout time.Duration
}

// DefaultTimeout bounds one request where the settings name no timeout.
const DefaultTimeout = 2 * time.Second

// maxAnswerBytes bounds what is read of the list.
const maxAnswerBytes = 8 << 20

// UnavailableError says that the list could not be read.
type UnavailableError struct{ Reason string }

// Error implements error.
func (e UnavailableError) Error() string { return fmt.Sprintf("vmlist: unavailable: %s", e.Reason) }

// Client reads the list over HTTP. It may be used concurrently.
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
	if transport == nil {
		transport = &http.Transport{DisableCompression: true}
	}
	return &Client{settings: settings, http: &http.Client{Transport: transport}}
}

// VMs reads the list as the platform shows it now. Errors: UnavailableError.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.settings.URL+"/vms", nil)
	if err != nil {
		return nil, UnavailableError{Reason: err.Error()}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, UnavailableError{Reason: err.Error()}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, UnavailableError{Reason: resp.Status}
	}
	var vms []VM
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&vms); err != nil {
		return nil, UnavailableError{Reason: err.Error()}
	}
	return vms, nil
}
