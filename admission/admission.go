// Package admission is the queue before an endpoint. It shares the endpoint's
// slots fairly between organisations, orders the requests of one organisation
// by priority, and refuses at once whatever cannot be served in time. A request
// that it refuses has not run.
//
// The scheduling rule is start-time fair queueing over measured slot time: an
// organisation is charged the time that its requests hold slots, divided by its
// share, and the organisation that was charged least goes next. An organisation
// that was idle starts level with the others; it saves nothing up.
package admission

import (
	"fmt"
	"time"
)

// Default bounds of a queue.
const (
	// DefaultMaxQueued is the number of requests that may wait.
	DefaultMaxQueued = 512
	// DefaultTimePerCost is the first estimate of the slot time of one unit of cost.
	DefaultTimePerCost = 20 * time.Millisecond
	// DefaultDrainGrace is how long queued requests may still start after Drain.
	DefaultDrainGrace = 2 * time.Second
)

// Config bounds a queue.
type Config struct {
	// Endpoint is the endpoint's name, for logs.
	Endpoint string
	// Slots is how many requests the endpoint runs at once.
	Slots int
	// MaxQueued bounds the requests that wait. An organisation may hold half of the
	// places that the others leave free, so that a burst never closes the queue
	// to the others.
	MaxQueued int
	// ReservedSlots is how many slots are kept, while several organisations run or
	// wait, for those that hold less than their part of the slots.
	ReservedSlots int
	// TimePerCost is the first estimate of the slot time of one unit of cost; the
	// queue learns the true one.
	TimePerCost time.Duration
	// DrainGrace is how long queued requests may still start after Drain. The
	// rest is refused then. Zero refuses all queued requests at once.
	DrainGrace time.Duration
}

// Request describes a request to the queue.
type Request struct {
	// ID identifies the request in logs.
	ID string
	// Organisation is the organisation that is charged.
	Organisation string
	// Share is the organisation's weight; values below 1 count as 1.
	Share int
	// Priority orders the requests of one organisation; higher goes first.
	Priority int32
	// Cost estimates the work, in any unit that is the same for all requests of
	// the endpoint, such as tokens. Values that are not positive count as 1.
	Cost float64
	// Remaining is what is left of the caller's deadline. Zero means none.
	Remaining time.Duration
}

// Load is a snapshot of a queue.
type Load struct {
	Queued  int
	Running int
	Slots   int
	// Wait estimates how long a request of an organisation that has nothing
	// queued would wait for a slot.
	Wait time.Duration
	// Draining and Down tell why the queue refuses everything.
	Draining bool
	Down     bool
}

// Reason says why a request was refused.
type Reason int

// The reasons of a refusal.
const (
	// ReasonQueueFull: the organisation holds all the places that it may.
	ReasonQueueFull Reason = iota
	// ReasonDeadline: the request could not end before its deadline.
	ReasonDeadline
	// ReasonDraining: the endpoint is leaving.
	ReasonDraining
	// ReasonEngineDown: the engine does not answer.
	ReasonEngineDown
	// ReasonCancelled: the caller has gone, or the attempt was revoked.
	ReasonCancelled
)

// String returns the reason in the form that logs use.
func (r Reason) String() string {
	return [...]string{"queue full", "deadline", "draining", "engine down", "cancelled"}[r]
}

// RefusedError says that a request did not get a slot and did not run.
type RefusedError struct {
	Request      string
	Organisation string
	Reason       Reason
	// RetryAfter estimates when the endpoint has room for the organisation.
	// Zero means unknown.
	RetryAfter time.Duration
}

// Error describes the refusal.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("request %s of %s refused: %s", e.Request, e.Organisation, e.Reason)
}

// ConfigError says that a queue's configuration is unusable.
type ConfigError struct {
	Field string
	Value int64
}

// Error describes the field and its value.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("admission: %s out of range: %d", e.Field, e.Value)
}
