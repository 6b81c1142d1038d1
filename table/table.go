// Package table is a client of the platform's transactional table service. Each row
// has an entity tag, writes are conditional, and a transaction applies several
// conditional writes atomically.
package table

import "time"

// Row is a row as read from the service.
type Row struct {
	// Key identifies the row.
	Key string `json:"key"`
	// Value is the row's content.
	Value []byte `json:"value"`
	// ETag is the entity tag of this version of the row. The service never reuses
	// it.
	ETag string `json:"etag"`
}

// Kind is the kind of an Op.
type Kind string

// The kinds of Op.
const (
	// KindPut writes a row.
	KindPut Kind = "put"
	// KindDelete removes a row.
	KindDelete Kind = "delete"
	// KindCheck checks the condition and writes nothing.
	KindCheck Kind = "check"
)

// Op is one conditional operation of a transaction.
type Op struct {
	Kind Kind   `json:"kind"`
	Key  string `json:"key"`
	// Value is the new content of the row, for KindPut.
	Value []byte `json:"value,omitempty"`
	// IfMatch is the entity tag that the row must have; empty for no condition.
	IfMatch string `json:"if_match,omitempty"`
	// IfAbsent requires that no row has the key.
	IfAbsent bool `json:"if_absent,omitempty"`
}

// Create returns an Op that writes a row which must not exist.
func Create(key string, value []byte) Op {
	return Op{Kind: KindPut, Key: key, Value: value, IfAbsent: true}
}

// Replace returns an Op that writes a row which must still have etag.
func Replace(key string, value []byte, etag string) Op {
	return Op{Kind: KindPut, Key: key, Value: value, IfMatch: etag}
}

// Delete returns an Op that removes a row which must still have etag.
func Delete(key, etag string) Op {
	return Op{Kind: KindDelete, Key: key, IfMatch: etag}
}

// Check returns an Op that requires that a row still has etag.
func Check(key, etag string) Op {
	return Op{Kind: KindCheck, Key: key, IfMatch: etag}
}

// Batch is the body of a transaction request.
type Batch struct {
	Ops []Op `json:"ops"`
}

// BatchResult is the response to a transaction that took effect. It holds the new
// entity tags in the order of the operations, with an empty one for a removed row.
type BatchResult struct {
	ETags []string `json:"etags"`
}

// Conflicts is the response to a transaction that had no effect because conditions
// failed.
type Conflicts struct {
	Keys []string `json:"keys"`
}

// Page is one page of a list of rows, sorted by key.
type Page struct {
	Rows []Row `json:"rows"`
	// More is true if there are further rows after the last one.
	More bool `json:"more"`
}

// Settings configures a Client.
type Settings struct {
	// URL is the base address, such as http://10.0.0.1:7000.
	URL string
	// Timeout limits one request. Zero selects DefaultTimeout.
	Timeout time.Duration
}

// DefaultTimeout limits one request if the settings specify no timeout.
const DefaultTimeout = 2 * time.Second

// MaxAnswerBytes limits what the client reads of one response.
const MaxAnswerBytes = 16 << 20
