// Package quota holds the limits of organisations over all entry nodes
// together, with no call to another process in a request's path.
//
// Each entry node measures the demand that reaches it and is told, some seconds
// late, the sum of what reaches the others. While the sum is within the limit
// everything is admitted. Above it each node admits the same part of its own
// demand, limit over sum, so the whole comes to the limit however the demand is
// spread. A token bucket at the whole limit bounds what one node admits before
// news arrives.
package quota

import (
	"fmt"
	"time"
)

// Default periods.
const (
	// DefaultWindow is the time constant of the measured demand.
	DefaultWindow = 5 * time.Second
	// DefaultReportTTL is how long the others' demand counts after it was told.
	DefaultReportTTL = 15 * time.Second
	// ReportPeriod is how often an entry node should report its demand.
	ReportPeriod = 2 * time.Second
)

// Usage is the demand of one organisation.
type Usage struct {
	// Requests is the demand in requests a second, refused ones included.
	Requests float64 `json:"requests,omitempty"`
	// Tokens is the demand in generated tokens a second, refused included.
	Tokens float64 `json:"tokens,omitempty"`
	// Concurrent is the number of admitted requests in flight.
	Concurrent float64 `json:"concurrent,omitempty"`
}

// Add returns the sum.
func (u Usage) Add(o Usage) Usage {
	return Usage{u.Requests + o.Requests, u.Tokens + o.Tokens, u.Concurrent + o.Concurrent}
}

// Kind is the kind of a limit.
type Kind int

// The kinds of limit.
const (
	RequestsPerSecond Kind = iota
	TokensPerSecond
	Concurrent
)

// String returns the limit's name in the configuration.
func (k Kind) String() string {
	return [...]string{"requests_per_second", "tokens_per_second", "concurrent"}[k]
}

// LimitedError says that an organisation is over a limit. The request has not
// run, and no other entry node or endpoint would take it.
type LimitedError struct {
	Organisation string
	Kind         Kind
	Limit        float64
	// RetryAfter estimates when a request is admitted again.
	RetryAfter time.Duration
}

// Error describes the limit.
func (e *LimitedError) Error() string {
	return fmt.Sprintf("organisation %s is over its limit %s %g", e.Organisation, e.Kind, e.Limit)
}

// ConfigError says that a limiter's configuration is unusable.
type ConfigError struct {
	Field string
	Value int64
}

// Error describes the field and its value.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("quota: %s must be positive, have %d", e.Field, e.Value)
}
