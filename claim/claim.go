// Package claim lets a protected request run at most once. Before an endpoint
// runs one, the agent's Ledger writes a claim of its organisation, route and
// idempotency key into the table; after it the answer is kept there for
// replay. Claims and answers of many requests go into one transaction, and
// every transaction is fenced by the incarnation of the runner that sends it.
//
// A claim is running, done, or, when its runner has vanished, of unknown
// outcome. An unknown one never runs again by itself.
package claim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/table"
)

// Table is what a Ledger needs of the table service.
type Table interface {
	Get(ctx context.Context, key string) (table.Row, error)
	List(ctx context.Context, prefix, after string, limit int) (table.Page, error)
	Write(ctx context.Context, ops []table.Op) ([]string, error)
}

// Objects is what a Ledger needs of the object store, for large answers.
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
	// Fingerprint identifies the body; Fingerprint computes it.
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

// Answer is an endpoint's whole answer.
type Answer struct {
	Status  int
	Headers []Header
	Body    []byte
}

// Token identifies one run of a claim.
type Token struct {
	// Row is the key of the claim's row.
	Row string
	// Runner and Incarnation name the process that claimed.
	Runner      string
	Incarnation uint64
	// Sequence counts the claims of the process from 1.
	Sequence uint64
	// Since is taken before the claim was sent.
	Since time.Time
}

// Decision is what Begin decides: exactly one field is set.
type Decision struct {
	// Run says that the caller owns the claim and has to run the request, and
	// then to call Finish or Abandon.
	Run *Token
	// Replay is the answer of an earlier run. Others share it, so that it must
	// not be changed.
	Replay *Answer
}

// Verdict is what an operator found out about a claim of unknown outcome.
type Verdict string

// The verdicts.
const (
	// VerdictRan keeps the key from ever running again.
	VerdictRan Verdict = "ran"
	// VerdictNotRun frees the key, so that its caller may send it again.
	VerdictNotRun Verdict = "not-run"
)

// Settings configure a Ledger.
type Settings struct {
	// Runner names the process; a replacement takes the same name.
	Runner string
	// Nonce tells this process from every other one, also from an earlier
	// incarnation of the same runner.
	Nonce string
	// FlushInterval is the least time between two writes to the table.
	FlushInterval time.Duration
	// BeginTimeout bounds how long Begin waits for a durable claim.
	BeginTimeout time.Duration
	// StartTimeout is how long after the claim was sent a run may begin.
	StartTimeout time.Duration
	// MaxRun is how long a run may last: the agent ends the call of the
	// endpoint then. A claim that was watched unchanged for longer is reported
	// as of unknown outcome.
	MaxRun time.Duration
	// KeepClaim is how long a finished claim is remembered. It bounds how late
	// a caller may repeat a key.
	KeepClaim time.Duration
	// DrainTimeout bounds how long Run writes answers after its context ended.
	DrainTimeout time.Duration
	// MaxOpen bounds the claims that are open at once.
	MaxOpen int
	// MaxWaiters bounds the repeated calls that wait for one open claim.
	MaxWaiters int
	// MaxBatch bounds the claims and answers of one write.
	MaxBatch int
	// InlineBytes bounds a body kept in the table; larger ones go into the
	// object store.
	InlineBytes int
	// MaxHeldBytes bounds the bodies held until they are written. Beyond it an
	// answer is recorded without its body.
	MaxHeldBytes int
	// MaxCached bounds the finished claims remembered in memory.
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

// withDefaults fills in what is zero.
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

// setDefault sets a zero value to its default.
func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}
