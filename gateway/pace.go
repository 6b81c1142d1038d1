package gateway

import (
	"github.com/cyclamenpoint/cyclamenpoint/discovery"
	"github.com/cyclamenpoint/cyclamenpoint/pacing"
)

// pacedEndpoint returns the identity of an endpoint for rate limits.
func pacedEndpoint(e discovery.Endpoint) pacing.Endpoint {
	return pacing.Endpoint{ID: e.ID, Incarnation: uint64(e.Started.UnixMilli())}
}
