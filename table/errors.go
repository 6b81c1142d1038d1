package table

import (
	"fmt"
	"strings"
	"time"
)

// NotFoundError says that no row has the key.
type NotFoundError struct{ Key string }

// Error implements error.
func (e NotFoundError) Error() string { return fmt.Sprintf("table: row %q does not exist", e.Key) }

// ConflictError says that a write had no effect because conditions failed.
type ConflictError struct {
	// Keys are rows whose condition failed, in the order of the operations:
	// at least the first such row.
	Keys []string
}

// Error implements error.
func (e ConflictError) Error() string {
	return fmt.Sprintf("table: conflict on row %s", strings.Join(e.Keys, ", "))
}

// Has tells whether key is among the failed rows.
func (e ConflictError) Has(key string) bool {
	for _, k := range e.Keys {
		if k == key {
			return true
		}
	}
	return false
}

// UnavailableError says that the service did not take the request. A write
// that failed so had no effect.
type UnavailableError struct{ Reason string }

// Error implements error.
func (e UnavailableError) Error() string { return "table: unavailable: " + e.Reason }

// RateLimitedError says that the service refused the request before any
// effect because too many came.
type RateLimitedError struct {
	// RetryAfter is the service's hint; zero means none.
	RetryAfter time.Duration
}

// Error implements error.
func (e RateLimitedError) Error() string {
	return fmt.Sprintf("table: rate limited, retry after %s", e.RetryAfter)
}

// UnknownOutcomeError says that the answer to a write was lost. The write may
// have taken effect, and may still do so later. The caller has to read back,
// or to repeat the same conditional write until the answer is definite.
type UnknownOutcomeError struct{ Reason string }

// Error implements error.
func (e UnknownOutcomeError) Error() string { return "table: outcome unknown: " + e.Reason }

// BadAnswerError says that the service's answer to a read made no sense.
type BadAnswerError struct {
	Status int
	Reason string
}

// Error implements error.
func (e BadAnswerError) Error() string {
	return fmt.Sprintf("table: bad answer, status %d: %s", e.Status, e.Reason)
}
