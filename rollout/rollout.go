// Package rollout accepts configurations and puts them in force on the nodes. A
// configuration is accepted, and durable, once a conditional write to the table
// service has succeeded. Version numbers only increase. A Follower on each node
// discovers new versions through the table and its peers, and never replaces a
// version in force by an older one.
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

// Table is the part of the table service that this package uses.
type Table interface {
	Get(ctx context.Context, key string) (table.Row, error)
	GetIfChanged(ctx context.Context, key, etag string) (row table.Row, changed bool, err error)
	Write(ctx context.Context, ops []table.Op) ([]string, error)
}

// Objects is the part of the object store that this package uses.
type Objects interface {
	PutIfAbsent(ctx context.Context, name string, data []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
}

// Digest identifies a version and its content.
type Digest struct {
	// Number is the version number, starting at 1. Zero means no version.
	Number uint64 `json:"number"`
	// Hash is the hexadecimal SHA-256 hash of the body.
	Hash string `json:"hash"`
}

// String returns the number and the first characters of the hash.
func (d Digest) String() string { return fmt.Sprintf("%d (%.12s)", d.Number, d.Hash) }

// Version describes an accepted version.
type Version struct {
	Digest
	// BasedOn is the number of the version that the operator edited.
	BasedOn uint64 `json:"based_on"`
	// Who is the operator who submitted the version.
	Who string `json:"who"`
	// ID identifies the Proposal.
	ID string `json:"id"`
	// At is the time of acceptance by the wall clock of the accepting process.
	At time.Time `json:"at"`
}

// HashOf returns the hash of a body.
func HashOf(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// currentKey is the key of the row with the latest accepted version.
const currentKey = "config/current"

// versionKey returns the key of the row that holds an accepted version.
func versionKey(number uint64) string { return fmt.Sprintf("config/version/%020d", number) }

// objectName returns the name of the object that holds a body.
func objectName(hash string) string { return "config/" + hash }

// decode decodes a version's row. Errors: BadRecordError.
func decode(row table.Row) (Version, error) {
	var v Version
	if err := json.Unmarshal(row.Value, &v); err != nil {
		return Version{}, BadRecordError{Row: row.Key, Reason: err.Error()}
	}
	return v, nil
}

// ConflictError is returned if a proposal was rejected because another version
// had been accepted since the version that it is based on.
type ConflictError struct {
	// BasedOn is the version that the proposal was based on.
	BasedOn uint64
	// Winner is the current version.
	Winner Version
}

// Error implements error.
func (e ConflictError) Error() string {
	return fmt.Sprintf("rollout: based on version %d, but %s accepted version %s",
		e.BasedOn, e.Winner.Who, e.Winner.Digest)
}

// TableBehindError is returned if the table holds an older version than one that
// is known to be accepted, for example after the table was restored from a
// backup.
type TableBehindError struct {
	Table uint64
	Known uint64
}

// Error implements error.
func (e TableBehindError) Error() string {
	return fmt.Sprintf("rollout: the table holds version %d, but version %d was accepted", e.Table, e.Known)
}

// NotAcceptedError is returned if the table service or the object store could not
// be reached and the proposal has definitely not been accepted.
type NotAcceptedError struct{ Reason string }

// Error implements error.
func (e NotAcceptedError) Error() string { return "rollout: not accepted: " + e.Reason }

// UnknownOutcomeError is returned if it could not be determined in time whether
// the proposal was accepted. Calling Accept again with the same ID resolves this.
type UnknownOutcomeError struct {
	ID       string
	Proposed Digest
	Reason   string
}

// Error implements error.
func (e UnknownOutcomeError) Error() string {
	return fmt.Sprintf("rollout: whether %s was accepted as %s is unknown: %s", e.ID, e.Proposed, e.Reason)
}

// BadRecordError is returned if a row of the table can't be decoded.
type BadRecordError struct {
	Row    string
	Reason string
}

// Error implements error.
func (e BadRecordError) Error() string {
	return fmt.Sprintf("rollout: bad record in %s: %s", e.Row, e.Reason)
}

// BadBodyError is returned if a body doesn't match its hash.
type BadBodyError struct{ Want, Got string }

// Error implements error.
func (e BadBodyError) Error() string {
	return fmt.Sprintf("rollout: body has hash %.12s instead of %.12s", e.Got, e.Want)
}

// NoAcceptedVersionError is returned if no version has been accepted yet.
type NoAcceptedVersionError struct{}

// Error implements error.
func (NoAcceptedVersionError) Error() string { return "rollout: no version was accepted" }

// NotReadyError is the reason why a node doesn't serve yet.
type NotReadyError struct{ Reason Reason }

// Error implements error.
func (e NotReadyError) Error() string { return "rollout: not ready: " + string(e.Reason) }
