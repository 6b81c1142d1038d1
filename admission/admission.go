// Package admission implements the request queue in front of an endpoint. It
// divides the endpoint's slots fairly between organisations, orders the requests
// of one organisation by priority, and refuses requests that cannot be served
// before their deadline. A refused request has not run.
//
// The scheduler uses start-time fair queueing over measured slot time: an
// organisation is charged the time that its requests hold slots, divided by its
// share, and the organisation with the smallest charge is served next. An
// organisation that was idle gets a small fixed credit, however long it was idle.
package admission

import (
	"fmt"
	"time"
)

// Defaults of Config.
const (
	// DefaultMaxQueued is the default limit on queued requests.
	DefaultMaxQueued = 512
	// DefaultTimePerCost is the initial estimate of the slot time per unit of cost.
	DefaultTimePerCost = 20 * time.Millisecond
	// DefaultDrainGrace is how long queued requests may still start during a drain.
	DefaultDrainGrace = 2 * time.Second
)

// Config configures a Queue.
type Config struct {
	// Endpoint is the endpoint's name, used in logs.
	Endpoint string
	// Slots is the number of requests that the endpoint runs concurrently.
	Slots int
	// MaxQueued limits the queued requests. An organisation may use at most half
	// of the places that other organisations leave free, so that a burst of one
	// organisation never fills the queue for the others.
	MaxQueued int
	// ReservedSlots is the number of slots reserved, while several organisations
	// have requests, for organisations that use less than their fair share.
	ReservedSlots int
	// TimePerCost is the initial estimate of the slot time per unit of cost. The
	// queue updates it from the requests that it runs.
	TimePerCost time.Duration
	// DrainGrace is how long queued requests may still start during a drain;
	// after that they are refused. Zero refuses them at once.
	DrainGrace time.Duration
}

// Request describes a request for a slot.
type Request struct {
	// ID identifies the request in logs.
	ID string
	// Organisation is the organisation charged for the request.
	Organisation string
	// Share is the organisation's scheduling weight; values below 1 count as 1.
	Share int
	// Priority orders the requests of one organisation, highest first.
	Priority int32
	// Cost estimates the work, in any unit that is the same for all requests of
	// the endpoint, such as tokens. Values that are not positive count as 1.
	Cost float64
	// Remaining is the time left until the caller's deadline. Zero means that
	// there is no deadline.
	Remaining time.Duration
}

// Load is a snapshot of a queue's load.
type Load struct {
	Queued  int
	Running int
	Slots   int
	// Wait is the estimated wait for a slot of a request whose organisation has
	// no other requests in the queue.
	Wait time.Duration
	// Draining and Down report why the queue refuses every request.
	Draining bool
	Down     bool
}

// Reason is why a request was refused.
type Reason int

// The reasons for a refusal.
const (
	// ReasonQueueFull: the organisation uses all the queue places that it may.
	ReasonQueueFull Reason = iota
	// ReasonDeadline: the request would not finish before its deadline.
	ReasonDeadline
	// ReasonDraining: the endpoint is draining.
	ReasonDraining
	// ReasonEngineDown: the engine does not respond.
	ReasonEngineDown
	// ReasonCancelled: the caller disconnected, or the attempt was revoked.
	ReasonCancelled
)

// String returns the reason as it appears in logs and metrics.
func (r Reason) String() string {
	return [...]string{"queue full", "deadline", "draining", "engine down", "cancelled"}[r]
}

// RefusedError is returned for a request that was refused and did not run.
type RefusedError struct {
	Request      string
	Organisation string
	Reason       Reason
	// RetryAfter is the estimated time until the endpoint can accept a request
	// of the organisation. Zero means unknown.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("request %s of %s refused: %s", e.Request, e.Organisation, e.Reason)
}

// ConfigError is returned for an invalid Config.
type ConfigError struct {
	Field string
	Value int64
}

// Error implements error.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("admission: %s out of range: %d", e.Field, e.Value)
}
