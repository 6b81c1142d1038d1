// Package vmlist is a client of the platform's list of VMs. The list may be out of
// date: it can show a VM as live that no longer exists, and a new one may be missing.
package vmlist

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// State is the state of a VM according to the platform.
type State string

// The states of a VM.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// VM is an entry of the list.
type VM struct {
	// Name identifies the VM. A replacement of the VM has the same name.
	Name string `json:"name"`
	// FailureDomain and Region are the location of the VM.
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	// Address is the IP address of the VM.
	Address string `json:"address"`
	State   State  `json:"state"`
}

// Settings configures a Client.
type Settings struct {
	// URL is the base address, such as http://10.0.0.1:7002.
	URL string
	// Timeout limits one request. Zero selects DefaultTimeout.
	Timeout time.Duration
}

// DefaultTimeout limits one request if the settings specify no timeout.
const DefaultTimeout = 2 * time.Second

// maxResponseBytes limits what the client reads of a response.
const maxResponseBytes = 8 << 20

// UnavailableError reports that the list could not be read.
type UnavailableError struct{ Reason string }

// Error implements error.
func (e UnavailableError) Error() string { return fmt.Sprintf("vmlist: unavailable: %s", e.Reason) }

// Client is a client of the list over HTTP. It is safe for concurrent use.
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
	if transport == nil {
		transport = &http.Transport{DisableCompression: true}
	}
	return &Client{settings: settings, http: &http.Client{Transport: transport}}
}

// VMs returns the current list. Errors: UnavailableError.
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
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&vms); err != nil {
		return nil, UnavailableError{Reason: err.Error()}
	}
	return vms, nil
}
