// Package claim ensures that a protected request runs at most once. Before a
// request runs at an endpoint, the agent's Ledger writes a claim with its
// organisation, route and idempotency key to the table. After the run it stores
// the answer there for replay. Claims and answers of many requests are written
// in one transaction, and every transaction is fenced by the incarnation of the
// runner that sends it.
//
// A claim is running or done, or its outcome is unknown, for example because its
// runner disappeared before it recorded the end. A request whose outcome is unknown
// is not run again unless an operator resolves its claim as not run.
package claim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/table"
)

// Table is the part of the table service that a Ledger uses.
type Table interface {
	Get(ctx context.Context, key string) (table.Row, error)
	List(ctx context.Context, prefix, after string, limit int) (table.Page, error)
	Write(ctx context.Context, ops []table.Op) ([]string, error)
}

// Objects is the part of the object store that a Ledger uses for large answers.
type Objects interface {
	PutIfAbsent(ctx context.Context, name string, data []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
	Delete(ctx context.Context, name string) error
}

// Claim identifies one protected request.
type Claim struct {
	Organisation string
	// Route is the service, method and path.
	Route string
	// Key is the caller's idempotency key.
	Key string
	// Fingerprint is the hash of the body, as the function Fingerprint returns it.
	Fingerprint string
	// KeepAnswer is how long the answer is kept for replay.
	KeepAnswer time.Duration
}

// Fingerprint returns the SHA-256 hash of a body in hexadecimal.
func Fingerprint(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// Header is one HTTP header field of an answer.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Answer is an endpoint's complete answer.
type Answer struct {
	Status  int
	Headers []Header
	Body    []byte
}

// Token identifies one run of a claim.
type Token struct {
	// Row is the key of the claim's row.
	Row string
	// Runner and Incarnation identify the process that made the claim.
	Runner      string
	Incarnation uint64
	// Sequence numbers the claims of the process from 1.
	Sequence uint64
	// Since is a time before the claim was sent to the table.
	Since time.Time
}

// Decision is the result of Begin. Exactly one field is set.
type Decision struct {
	// Run is set if the caller owns the claim. The caller must call Start, run
	// the request, and then call Finish, or MarkUnknown if the outcome is unknown.
	// If the request did not run, the caller must call Abandon.
	Run *Token
	// Replay is the answer of an earlier run. It is shared between callers and
	// must not be modified.
	Replay *Answer
}

// Verdict is an operator's resolution of a claim of unknown outcome.
type Verdict string

// The verdicts.
const (
	// VerdictRan records that the request ran. No request with the key runs again.
	VerdictRan Verdict = "ran"
	// VerdictNotRun frees the key, so that the caller can send the request again.
	VerdictNotRun Verdict = "not-run"
)

// Settings configure a Ledger.
type Settings struct {
	// Runner is the name of the process. A process that replaces it uses the
	// same name.
	Runner string
	// Nonce is unique to this process. It differs from that of an earlier
	// incarnation of the same runner.
	Nonce string
	// FlushInterval is the minimum time between two writes to the table.
	FlushInterval time.Duration
	// BeginTimeout limits how long Begin waits for a claim to become durable.
	BeginTimeout time.Duration
	// StartTimeout is the maximum time between sending a claim and starting its
	// run.
	StartTimeout time.Duration
	// MaxRun is the maximum duration of a run, after which the agent ends the
	// call to the endpoint. The outcome of a claim that is observed unchanged for
	// longer is reported as unknown.
	MaxRun time.Duration
	// KeepClaim is how long a finished claim is kept, and so how long a repeated
	// key is recognised.
	KeepClaim time.Duration
	// DrainTimeout limits how long Run writes answers after its context ended.
	DrainTimeout time.Duration
	// MaxOpen limits the number of open claims.
	MaxOpen int
	// MaxWaiters limits the repeated calls that wait for one open claim.
	MaxWaiters int
	// MaxBatch limits the claims and answers in one write.
	MaxBatch int
	// InlineBytes is the maximum size of a body stored in the table. Larger
	// bodies are stored in the object store.
	InlineBytes int
	// MaxHeldBytes limits the total size of bodies in memory that are not yet
	// written. Beyond it an answer is recorded without its body.
	MaxHeldBytes int
	// MaxCached limits the finished claims cached in memory.
	MaxCached int
}

// Defaults of Settings.
const (
	DefaultFlushInterval = 33 * time.Millisecond
	DefaultBeginTimeout  = 2 * time.Second
	DefaultStartTimeout  = 10 * time.Second
	DefaultMaxRun        = 10 * time.Minute
	DefaultKeepClaim     = 7 * 24 * time.Hour
	DefaultDrainTimeout  = 10 * time.Second
	DefaultMaxOpen       = 4096
	DefaultMaxWaiters    = 16
	DefaultMaxBatch      = 256
	DefaultInlineBytes   = 4 << 10
	DefaultMaxHeldBytes  = 16 << 20
	DefaultMaxCached     = 1024
)

// withDefaults returns the settings with zero values replaced by defaults.
func (s Settings) withDefaults() Settings {
	setDefault(&s.FlushInterval, DefaultFlushInterval)
	setDefault(&s.BeginTimeout, DefaultBeginTimeout)
	setDefault(&s.StartTimeout, DefaultStartTimeout)
	setDefault(&s.MaxRun, DefaultMaxRun)
	setDefault(&s.KeepClaim, DefaultKeepClaim)
	setDefault(&s.DrainTimeout, DefaultDrainTimeout)
	setDefault(&s.MaxOpen, DefaultMaxOpen)
	setDefault(&s.MaxWaiters, DefaultMaxWaiters)
	setDefault(&s.MaxBatch, DefaultMaxBatch)
	setDefault(&s.InlineBytes, DefaultInlineBytes)
	setDefault(&s.MaxHeldBytes, DefaultMaxHeldBytes)
	setDefault(&s.MaxCached, DefaultMaxCached)
	return s
}

// setDefault replaces a zero value by the fallback.
func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}
