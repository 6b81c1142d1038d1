// Package route owns the configuration that entry nodes serve callers by where
// routes are chosen by host and path: which service a path belongs to, what may
// be repeated, and which key belongs to which organisation. A Table is
// immutable; a newer configuration is a new Table.
package route

import (
	"strconv"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/deployment"
)

// Config is one whole configuration.
type Config struct {
	// Version orders configurations; a higher one replaces a lower one.
	Version       uint64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
}

// Route says how the requests of one host below one path prefix are served.
type Route struct {
	// Name identifies the route in logs.
	Name string
	// Host is compared without a port; Prefix begins and ends with a slash.
	Host   string
	Prefix string
	// Repeat says when a request may be sent a second time.
	Repeat deployment.Repeat
	// Stream marks answers that are a series of events, and Resumable those that
	// another endpoint can go on with after an event's id.
	Stream    bool
	Resumable bool
	// Timeout is the longest time until the answer's end; zero sets no bound.
	Timeout time.Duration
	// LatencyTarget is the latency within which an answer is on time, up to the first
	// event for a stream; TargetGap is the longest pause between events.
	LatencyTarget time.Duration
	TargetGap     time.Duration
	// MaxAttempts bounds the endpoints that one request is sent to.
	MaxAttempts int
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// Anonymous routes need no key.
	Anonymous bool
	// Split shares the requests out between services by weight.
	Split []Share
}

// Kind names the route's kind in logs and figures.
func (r *Route) Kind() string {
	switch {
	case r.Stream && r.Resumable:
		return "resumable stream"
	case r.Stream:
		return "stream"
	case r.Repeat == deployment.RepeatAlways:
		return "repeatable"
	}
	return "once"
}

// Share is one service's part of a route's requests.
type Share struct {
	Service string
	Weight  int
}

// Service is a set of endpoints that do the same work.
type Service struct {
	Name string
	// HealthPath answers whether an endpoint considers itself healthy.
	HealthPath string
	// MaxConnections is what one endpoint accepts from all callers together.
	MaxConnections int
	// Engine describes the model engines; nil for a plain service.
	Engine *Engine
}

// Engine holds what is known in advance of a service's model engines.
type Engine struct {
	// Slots is how many requests one engine runs at once.
	Slots int
	// KVTokens is the memory of one engine, in tokens.
	KVTokens int
	// StepTime is the time of one token step, StepTimePerRequest what each running request
	// adds to it.
	StepTime           time.Duration
	StepTimePerRequest time.Duration
	// StepsPerPass is how many token steps a pass with running requests has.
	StepsPerPass int
	// PromptTokensPerSecond is the rate of reading prompts.
	PromptTokensPerSecond float64
	// MeanPromptTokens and MeanAnswerTokens are mean numbers of tokens.
	MeanPromptTokens, MeanAnswerTokens int
	// Experts describes the groups' experts; nil where there are none.
	Experts *Experts
}

// Experts is the shape of a group's expert maps.
type Experts struct {
	// Layers is the number of sets of layers that are placed as one.
	Layers int
	// ExpertsPerLayer is their number in a layer, SlotsPerRank what a rank holds of them.
	ExpertsPerLayer int
	SlotsPerRank    int
	// SpareSlots is the number of slots in a layer beyond SlotsPerRank that a rank can fill
	// while it serves from the others.
	SpareSlots int
	// ExpertBytes is the size of one expert's weights.
	ExpertBytes int64
	// LoadBytesPerSecond is the rate at which a rank copies weights.
	LoadBytesPerSecond float64
	// WorkShare is the part of a token's work that the experts do, from 0 to 1.
	WorkShare float64
}

// Organisation is a group of callers with keys of its own.
type Organisation struct {
	Name string
	Keys []string
	// Priority replaces the route's where HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bound what a caller may send.
type Limits struct {
	MaxBodyBytes   int64
	MaxHeaderBytes int
	IdleTimeout    time.Duration
}

// Cause says why a request has no route.
type Cause uint8

// The causes.
const (
	// CauseNoRoute: no route matches the host and path.
	CauseNoRoute Cause = iota
	// CauseNoKey: the route needs a key and the request has none that is known.
	CauseNoKey
)

var causeNames = [...]string{"no route matches", "the key is not known"}

// String returns the cause as logs print it.
func (c Cause) String() string { return causeNames[c] }

// DeniedError says that the configuration does not allow a request.
type DeniedError struct {
	Cause Cause
	// Version is the configuration that decided.
	Version uint64
}

// Error implements error.
func (e *DeniedError) Error() string {
	return e.Cause.String() + " in configuration " + strconv.FormatUint(e.Version, 10)
}
