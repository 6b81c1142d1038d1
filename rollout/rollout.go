// Package rollout owns which configuration is accepted and which one is in
// force on a node. Accepted means durable: a conditional write of the table
// decides it, and versions only grow. A Follower on each node learns of new
// versions from the table and from its peers, and never goes back to an older
// one.
package rollout

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/table"
)

// Table is what accepting and following need of the table service.
type Table interface {
	Get(ctx context.Context, key string) (table.Row, error)
	GetIfChanged(ctx context.Context, key, etag string) (row table.Row, changed bool, err error)
	Write(ctx context.Context, ops []table.Op) ([]string, error)
}

// Objects is what accepting and following need of the object store.
type Objects interface {
	PutIfAbsent(ctx context.Context, name string, data []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
}

// Digest names a version and its content.
type Digest struct {
	// Number counts the accepted versions from 1; zero is no version.
	Number uint64 `json:"number"`
	// Hash is the SHA-256 hash of the body in hexadecimal.
	Hash string `json:"hash"`
}

// String returns the number with the beginning of the hash.
func (d Digest) String() string { return fmt.Sprintf("%d (%.12s)", d.Number, d.Hash) }

// Version is an accepted version.
type Version struct {
	Digest
	// BasedOn is the version that the operator had before them.
	BasedOn uint64 `json:"based_on"`
	// Who handed the version over.
	Who string `json:"who"`
	// ID identifies the request to accept it.
	ID string `json:"id"`
	// At is when it was accepted, by the wall clock of the accepting process.
	At time.Time `json:"at"`
}

// HashOf returns the hash of a body.
func HashOf(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// currentKey is the row of the newest accepted version.
const currentKey = "config/current"

// versionKey returns the row that keeps who made an accepted version.
func versionKey(number uint64) string { return fmt.Sprintf("config/version/%020d", number) }

// objectName returns the object that holds a body.
func objectName(hash string) string { return "config/" + hash }

// decode reads a version's row. Errors: BadRecordError.
func decode(row table.Row) (Version, error) {
	var v Version
	if err := json.Unmarshal(row.Value, &v); err != nil {
		return Version{}, BadRecordError{Row: row.Key, Reason: err.Error()}
	}
	return v, nil
}

// ConflictError says that another version was accepted in between, so that the
// proposal was not.
type ConflictError struct {
	// BasedOn is the version that the proposal was based on.
	BasedOn uint64
	// Winner is the version that is current instead.
	Winner Version
}

// Error implements error.
func (e ConflictError) Error() string {
	return fmt.Sprintf("rollout: based on version %d, but %s accepted version %s",
		e.BasedOn, e.Winner.Who, e.Winner.Digest)
}

// TableBehindError says that the table holds an older version than a node has
// known, such as after it was restored from a copy.
type TableBehindError struct {
	Table uint64
	Known uint64
}

// Error implements error.
func (e TableBehindError) Error() string {
	return fmt.Sprintf("rollout: the table holds version %d, but version %d was accepted", e.Table, e.Known)
}

// NotAcceptedError says that the stores could not be reached and that the
// proposal was not accepted and will not be.
type NotAcceptedError struct{ Reason string }

// Error implements error.
func (e NotAcceptedError) Error() string { return "rollout: not accepted: " + e.Reason }

// UnknownOutcomeError says that whether the proposal was accepted could not be
// found out in time. Accepting it again with the same ID tells.
type UnknownOutcomeError struct {
	ID       string
	Proposed Digest
	Reason   string
}

// Error implements error.
func (e UnknownOutcomeError) Error() string {
	return fmt.Sprintf("rollout: whether %s was accepted as %s is unknown: %s", e.ID, e.Proposed, e.Reason)
}

// BadRecordError says that a row of the table can't be understood.
type BadRecordError struct {
	Row    string
	Reason string
}

// Error implements error.
func (e BadRecordError) Error() string {
	return fmt.Sprintf("rollout: bad record in %s: %s", e.Row, e.Reason)
}

// BadBodyError says that a body is not the one that its hash names.
type BadBodyError struct{ Want, Got string }

// Error implements error.
func (e BadBodyError) Error() string {
	return fmt.Sprintf("rollout: body has hash %.12s instead of %.12s", e.Got, e.Want)
}

// NoAcceptedVersionError says that no version was ever accepted.
type NoAcceptedVersionError struct{}

// Error implements error.
func (NoAcceptedVersionError) Error() string { return "rollout: no version was accepted" }

// NotReadyError says why a node does not serve yet.
type NotReadyError struct{ Reason Reason }

// Error implements error.
func (e NotReadyError) Error() string { return "rollout: not ready: " + string(e.Reason) }
