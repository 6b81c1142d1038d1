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

// The states. A running claim is also of unknown outcome once its runner has a
// newer incarnation.
const (
	StateRunning  State = "running"
	StateDone     State = "done"
	StateResolved State = "resolved"
	StateUnknown  State = "unknown"
	StateFree     State = "free"
)

// Prefixes of the table's keys.
const (
	rowPrefix      = "claim/row/"
	runnerPrefix   = "claim/runner/"
	vanishedPrefix = "claim/vanished/"
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
	// What follows is set when the claim is done.
	KeepUntil time.Time `json:"keep_until,omitzero"`
	Status    int       `json:"status,omitempty"`
	Headers   []Header  `json:"headers,omitempty"`
	Body      []byte    `json:"body,omitempty"`
	// Object names the object that holds a large body.
	Object string `json:"object,omitempty"`
	// Dropped is set when the body could not be kept.
	Dropped bool `json:"dropped,omitempty"`
}

// runnerRecord is the content of a runner's row. It fences the writes of older
// incarnations and lists the claims that are open.
type runnerRecord struct {
	Runner      string `json:"runner"`
	Incarnation uint64 `json:"incarnation"`
	Nonce       string `json:"nonce"`
	// Flush numbers the write that the row comes from, so that one read tells
	// whether a write with a lost answer took effect.
	Flush uint64 `json:"flush"`
	// Open are the rows of the claims that are running.
	Open []string `json:"open,omitempty"`
}

// vanishedRecord lists claims whose outcome an incarnation does not know, or
// which it left behind.
type vanishedRecord struct {
	Runner      string   `json:"runner"`
	Incarnation uint64   `json:"incarnation"`
	Open        []string `json:"open"`
}

// expiryRecord lists finished claims that may be removed together.
type expiryRecord struct {
	Claims []expiring `json:"claims"`
}

// expiring is one finished claim.
type expiring struct {
	Row    string `json:"row"`
	ETag   string `json:"etag"`
	Object string `json:"object,omitempty"`
}

// rowKey returns the key of a claim's row. Lengths keep the parts apart.
func rowKey(c Claim) string {
	hash := sha256.New()
	for _, part := range []string{c.Organisation, c.Route, c.Key} {
		// A hash never fails to write.
		_, _ = fmt.Fprintf(hash, "%d:%s", len(part), part)
	}
	return rowPrefix + url.PathEscape(c.Organisation) + "/" + hex.EncodeToString(hash.Sum(nil))
}

// runnerKey returns the key of a runner's row.
func runnerKey(runner string) string { return runnerPrefix + url.PathEscape(runner) }

// vanishedKey returns the key of the row that lists what an incarnation left.
func vanishedKey(runner string, incarnation uint64) string {
	return fmt.Sprintf("%s%s/%020d", vanishedPrefix, url.PathEscape(runner), incarnation)
}

// unknownKey returns the key of the row that lists the claims which a live
// incarnation marked by one write as of unknown outcome.
func unknownKey(runner string, incarnation, flush uint64) string {
	return fmt.Sprintf("%s/%020d", vanishedKey(runner, incarnation), flush)
}

// expiryKey returns the key of an expiry row; keys sort by hour.
func expiryKey(at time.Time, runner string, incarnation, flush uint64) string {
	return fmt.Sprintf("%s%012d/%s/%d-%d",
		expiryPrefix, expiryHour(at), url.PathEscape(runner), incarnation, flush)
}

// expiryHour counts hours, rounded up.
func expiryHour(at time.Time) int64 {
	const hour = int64(time.Hour / time.Second)
	return (at.Unix() + hour - 1) / hour
}

// encode returns a record's stored form.
func encode(v any) []byte {
	// Records hold strings, numbers, times and bytes, which always encode.
	data, _ := json.Marshal(v)
	return data
}

// decode reads a row. Errors: BadRecordError.
func decode[T any](row table.Row) (T, error) {
	var v T
	if err := json.Unmarshal(row.Value, &v); err != nil {
		return v, BadRecordError{Row: row.Key, Reason: err.Error()}
	}
	return v, nil
}

// running returns the record of a new claim.
func running(c Claim, t Token) record {
	return record{
		State: StateRunning, Organisation: c.Organisation, Route: c.Route, Key: c.Key,
		Fingerprint: c.Fingerprint, Runner: t.Runner, Incarnation: t.Incarnation,
		Sequence: t.Sequence, Since: t.Since.Round(0).UTC(),
	}
}

// owns tells whether the record is of the run that t names.
func (r record) owns(t Token) bool {
	return r.Runner == t.Runner && r.Incarnation == t.Incarnation && r.Sequence == t.Sequence
}
