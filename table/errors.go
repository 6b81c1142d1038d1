package table

import (
	"fmt"
	"strings"
	"time"
)

// NotFoundError reports that no row has the key.
type NotFoundError struct{ Key string }

// Error implements error.
func (e NotFoundError) Error() string { return fmt.Sprintf("table: row %q does not exist", e.Key) }

// ConflictError reports that a write had no effect because conditions failed.
type ConflictError struct {
	// Keys are the keys of rows whose condition failed, in the order of the
	// operations. It holds at least the first such row.
	Keys []string
}

// Error implements error.
func (e ConflictError) Error() string {
	return fmt.Sprintf("table: conflict on row %s", strings.Join(e.Keys, ", "))
}

// Has reports whether key is in Keys.
func (e ConflictError) Has(key string) bool {
	for _, k := range e.Keys {
		if k == key {
			return true
		}
	}
	return false
}

// UnavailableError reports that the service did not accept the request. A write that
// fails with it had no effect.
type UnavailableError struct{ Reason string }

// Error implements error.
func (e UnavailableError) Error() string { return "table: unavailable: " + e.Reason }

// RateLimitedError reports that the service rejected the request because of its rate
// limit. The request had no effect.
type RateLimitedError struct {
	// RetryAfter is the delay that the service suggests; zero if it suggests none.
	RetryAfter time.Duration
}

// Error implements error.
func (e RateLimitedError) Error() string {
	return fmt.Sprintf("table: rate limited, retry after %s", e.RetryAfter)
}

// UnknownOutcomeError reports that the response to a write was lost. The write may
// have taken effect or may still do so. The caller has to read the row, or to repeat
// the same conditional write until its outcome is certain.
type UnknownOutcomeError struct{ Reason string }

// Error implements error.
func (e UnknownOutcomeError) Error() string { return "table: outcome unknown: " + e.Reason }

// BadAnswerError reports an invalid response to a read.
type BadAnswerError struct {
	Status int
	Reason string
}

// Error implements error.
func (e BadAnswerError) Error() string {
	return fmt.Sprintf("table: bad answer, status %d: %s", e.Status, e.Reason)
}
