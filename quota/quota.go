// Package quota enforces limits of organisations across all entry nodes without
// calling another process while a request is handled.
//
// Each entry node measures its own demand and receives, with a delay of some
// seconds, the total demand at the other nodes. While the total is within the
// limit, every request is admitted. When the total is above the limit, each node
// admits the fraction limit/total of the requests that reach it. Since all nodes
// use the same fraction, they admit the limit together, however unevenly the
// requests are distributed over the nodes. A token bucket with the rate of the
// whole limit bounds what one node admits before it receives reports.
package quota

import (
	"fmt"
	"time"
)

// Defaults of Config, and the report period.
const (
	// DefaultWindow is the default time constant of measured demand.
	DefaultWindow = 5 * time.Second
	// DefaultReportTTL is the default time for which reported demand is used.
	DefaultReportTTL = 15 * time.Second
	// ReportPeriod is the interval at which an entry node should report its
	// demand.
	ReportPeriod = 2 * time.Second
)

// Usage is the demand of one organisation.
type Usage struct {
	// Requests is the demand in requests per second, including refused ones.
	Requests float64 `json:"requests,omitempty"`
	// Tokens is the demand in generated tokens per second, including refused
	// requests.
	Tokens float64 `json:"tokens,omitempty"`
	// Concurrent is the number of admitted requests in flight.
	Concurrent float64 `json:"concurrent,omitempty"`
}

// Add returns the sum of u and o.
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

// LimitedError is returned if an organisation is over a limit. The request has not
// run, and other entry nodes and endpoints would refuse it as well.
type LimitedError struct {
	Organisation string
	Kind         Kind
	Limit        float64
	// RetryAfter is the estimated time until a request is admitted again.
	RetryAfter time.Duration
}

// Error implements error.
func (e *LimitedError) Error() string {
	return fmt.Sprintf("organisation %s is over its limit %s %g", e.Organisation, e.Kind, e.Limit)
}

// ConfigError is returned for an invalid Config.
type ConfigError struct {
	Field string
	Value int64
}

// Error implements error.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("quota: %s must be positive, have %d", e.Field, e.Value)
}
