package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/url"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/table"
)

// State is the state of a claim.
type State string

// The states of a claim. The outcome of a running claim is also unknown once its
// runner has a newer incarnation.
const (
	StateRunning  State = "running"
	StateDone     State = "done"
	StateResolved State = "resolved"
	StateUnknown  State = "unknown"
	StateFree     State = "free"
)

// Prefixes of keys in the table.
const (
	rowPrefix      = "claim/row/"
	runnerPrefix   = "claim/runner/"
	orphanedPrefix = "claim/vanished/"
	expiryPrefix   = "claim/expiry/"
)

// record is the content of a claim's row.
type record struct {
	State        State     `json:"state"`
	Organisation string    `json:"organisation"`
	Route        string    `json:"route"`
	Key          string    `json:"key"`
	Fingerprint  string    `json:"fingerprint"`
	Runner       string    `json:"runner"`
	Incarnation  uint64    `json:"incarnation"`
	Sequence     uint64    `json:"sequence"`
	Since        time.Time `json:"since"`
	// The following fields are set when the claim is done.
	KeepUntil time.Time `json:"keep_until,omitzero"`
	Status    int       `json:"status,omitempty"`
	Headers   []Header  `json:"headers,omitempty"`
	Body      []byte    `json:"body,omitempty"`
	// Object names the object that holds a large body.
	Object string `json:"object,omitempty"`
	// Dropped is set if the body was not stored.
	Dropped bool `json:"dropped,omitempty"`
}

// runnerRecord is the content of a runner's row. It fences the writes of older
// incarnations and lists the open claims.
type runnerRecord struct {
	Runner      string `json:"runner"`
	Incarnation uint64 `json:"incarnation"`
	Nonce       string `json:"nonce"`
	// Flush is the number of the batch that wrote the row, so that one read
	// shows whether a write with a lost response took effect.
	Flush uint64 `json:"flush"`
	// Open lists the rows of the running claims.
	Open []string `json:"open,omitempty"`
}

// orphanedRecord lists claims that an incarnation left open, or whose outcome it
// marked as unknown.
type orphanedRecord struct {
	Runner      string   `json:"runner"`
	Incarnation uint64   `json:"incarnation"`
	Open        []string `json:"open"`
}

// expiryRecord lists finished claims that are removed together.
type expiryRecord struct {
	Claims []expiring `json:"claims"`
}

// expiring is a finished claim in an expiryRecord.
type expiring struct {
	Row    string `json:"row"`
	ETag   string `json:"etag"`
	Object string `json:"object,omitempty"`
}

// rowKey returns the key of a claim's row. Each part is hashed with its length,
// so that different parts cannot concatenate to the same input.
func rowKey(c Claim) string {
	hash := sha256.New()
	for _, part := range []string{c.Organisation, c.Route, c.Key} {
		// Writes to a hash never fail.
		_, _ = fmt.Fprintf(hash, "%d:%s", len(part), part)
	}
	return rowPrefix + url.PathEscape(c.Organisation) + "/" + hex.EncodeToString(hash.Sum(nil))
}

// runnerKey returns the key of a runner's row.
func runnerKey(runner string) string { return runnerPrefix + url.PathEscape(runner) }

// orphanedKey returns the key of the row that lists the claims an incarnation
// left open.
func orphanedKey(runner string, incarnation uint64) string {
	return fmt.Sprintf("%s%s/%020d", orphanedPrefix, url.PathEscape(runner), incarnation)
}

// unknownKey returns the key of the row that lists the claims whose outcome a live
// incarnation marked as unknown in one write.
func unknownKey(runner string, incarnation, flush uint64) string {
	return fmt.Sprintf("%s/%020d", orphanedKey(runner, incarnation), flush)
}

// expiryKey returns the key of an expiry row. Keys sort by hour.
func expiryKey(at time.Time, runner string, incarnation, flush uint64) string {
	return fmt.Sprintf("%s%012d/%s/%d-%d",
		expiryPrefix, expiryHour(at), url.PathEscape(runner), incarnation, flush)
}

// expiryHour returns the hours since the Unix epoch, rounded up.
func expiryHour(at time.Time) int64 {
	const hour = int64(time.Hour / time.Second)
	return (at.Unix() + hour - 1) / hour
}

// encode returns the JSON form of a record.
func encode(v any) []byte {
	// Records contain only strings, numbers, times and bytes, which always encode.
	data, _ := json.Marshal(v)
	return data
}

// decode decodes the JSON record in a row. Errors: BadRecordError.
func decode[T any](row table.Row) (T, error) {
	var v T
	if err := json.Unmarshal(row.Value, &v); err != nil {
		return v, BadRecordError{Row: row.Key, Reason: err.Error()}
	}
	return v, nil
}

// runningRecord returns the record of a new claim.
func runningRecord(c Claim, t Token) record {
	return record{
		State: StateRunning, Organisation: c.Organisation, Route: c.Route, Key: c.Key,
		Fingerprint: c.Fingerprint, Runner: t.Runner, Incarnation: t.Incarnation,
		Sequence: t.Sequence, Since: t.Since.Round(0).UTC(),
	}
}

// belongsTo reports whether the record is of the run with the token.
func (r record) belongsTo(t Token) bool {
	return r.Runner == t.Runner && r.Incarnation == t.Incarnation && r.Sequence == t.Sequence
}
