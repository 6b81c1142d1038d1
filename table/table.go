// Package table is the client of the platform's transactional table service:
// rows with an entity tag each, conditional writes, and transactions of many
// conditional writes that take effect together or not at all.
package table

import "time"

// Row is one row as it was read.
type Row struct {
	// Key identifies the row.
	Key string `json:"key"`
	// Value is the row's content.
	Value []byte `json:"value"`
	// ETag identifies this version of the row. It is never used again.
	ETag string `json:"etag"`
}

// Kind says what an Op does.
type Kind string

// The kinds of Op.
const (
	// KindPut writes a row.
	KindPut Kind = "put"
	// KindDelete removes a row.
	KindDelete Kind = "delete"
	// KindCheck only checks its condition.
	KindCheck Kind = "check"
)

// Op is one conditional write of a transaction.
type Op struct {
	Kind Kind   `json:"kind"`
	Key  string `json:"key"`
	// Value is the new content of KindPut.
	Value []byte `json:"value,omitempty"`
	// IfMatch is the entity tag that the row must have. Empty sets no
	// condition.
	IfMatch string `json:"if_match,omitempty"`
	// IfAbsent demands that no row has the key.
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

// Check returns an Op that demands that a row still has etag.
func Check(key, etag string) Op {
	return Op{Kind: KindCheck, Key: key, IfMatch: etag}
}

// Batch is the body of a transaction request.
type Batch struct {
	Ops []Op `json:"ops"`
}

// BatchResult is the answer to a transaction that took effect: the new entity
// tags in the order of the operations, empty where a row was removed.
type BatchResult struct {
	ETags []string `json:"etags"`
}

// Conflicts is the answer to a transaction that had no effect because
// conditions failed.
type Conflicts struct {
	Keys []string `json:"keys"`
}

// Page is one page of a list, in the order of the keys.
type Page struct {
	Rows []Row `json:"rows"`
	// More is true when rows follow the last one.
	More bool `json:"more"`
}

// Settings configure a Client.
type Settings struct {
	// URL is the base address, such as http://10.0.0.1:7000.
	URL string
	// Timeout bounds one request. Zero takes DefaultTimeout.
	Timeout time.Duration
}

// DefaultTimeout bounds one request where the settings name no timeout.
const DefaultTimeout = 2 * time.Second

// MaxAnswerBytes bounds what the client reads of one answer.
const MaxAnswerBytes = 16 << 20
