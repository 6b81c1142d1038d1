package quota

import (
	"expvar"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"
	"k8s.io/klog/v2"

	"github.com/cyclamenpoint/cyclamenpoint/deployment"
)

const (
	// burstSeconds is how many seconds of the whole limit a node's bucket holds.
	burstSeconds = 2
	// learnWeight is the weight of a new answer in the estimate of tokens.
	learnWeight = 0.1
	// idleRate is the demand, in requests a second, under which an organisation
	// is forgotten.
	idleRate = 1e-4
	// minRetryAfter and maxRetryAfter bound the hint to callers.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// counts are the counters of all limiters of the process: "admitted", and
// "refused " with the kind of limit.
var counts = expvar.NewMap("quota")

// Config holds a limiter's periods.
type Config struct {
	// Window is the time constant of the measured demand.
	Window time.Duration
	// ReportTTL is how long the others' demand of an organisation counts after it was
	// told. While nothing at all is told, it counts on.
	ReportTTL time.Duration
}

// Limiter decides at one entry node. It is safe for concurrent use.
type Limiter struct {
	cfg Config

	mu       sync.Mutex
	rng      *rand.Rand
	accounts map[string]*account
	// told is when the others' demand was last told for any organisation.
	told time.Time
}

// account is what a node knows of one organisation.
type account struct {
	requests, tokens           decaying
	thinRequests, thinTokens   thinner
	requestBucket, tokenBucket *rate.Limiter
	inFlight                   int
	// tokenRatio is the mean of generated over expected tokens.
	tokenRatio float64
	others     Usage
	told       time.Time
}

// New returns a limiter. rng is used under the limiter's lock only.
func New(cfg Config, rng *rand.Rand) (*Limiter, error) {
	if cfg.Window <= 0 {
		return nil, &ConfigError{Field: "window", Value: int64(cfg.Window)}
	}
	if cfg.ReportTTL <= 0 {
		return nil, &ConfigError{Field: "hold", Value: int64(cfg.ReportTTL)}
	}
	return &Limiter{cfg: cfg, rng: rng, accounts: make(map[string]*account)}, nil
}

// Grant is an admitted request. Done must be called once it has ended.
type Grant struct {
	limiter      *Limiter
	organisation string
	expected     float64
	once         sync.Once
}

// Admit counts a request and decides at once. tokens is the number of tokens
// that the request may generate. The error is a *LimitedError.
func (l *Limiter) Admit(organisation string, limits deployment.Limits, tokens float64) (*Grant, error) {
	l.mu.Lock()
	err := l.admit(organisation, limits, tokens)
	l.mu.Unlock()
	if err != nil {
		counts.Add("refused "+err.Kind.String(), 1)
		klog.Infof("quota: refused a request of %s: %s %g, retry after %v",
			organisation, err.Kind, err.Limit, err.RetryAfter)
		return nil, err
	}
	counts.Add("admitted", 1)
	return &Grant{limiter: l, organisation: organisation, expected: tokens}, nil
}

func (l *Limiter) admit(organisation string, limits deployment.Limits, tokens float64) *LimitedError {
	now := time.Now()
	a := l.account(organisation)
	others := l.othersOf(a, now)
	// The demand before this request: counted with it, a request that comes
	// after a pause would see its own weight.
	own := l.own(a, now)
	expected := tokens * a.tokenRatio
	a.requests.add(now, l.cfg.Window, 1)
	a.tokens.add(now, l.cfg.Window, expected)

	if limit := float64(limits.Concurrent); limit > 0 && own.Concurrent+others.Concurrent >= limit {
		return &LimitedError{organisation, Concurrent, limit, minRetryAfter}
	}
	if limit := limits.RequestsPerSecond; limit > 0 {
		p := part(limit, own.Requests, others.Requests)
		if !a.thinRequests.take(p) || !bucket(&a.requestBucket, limit).AllowN(now, 1) {
			return &LimitedError{organisation, RequestsPerSecond, limit, retryAfter(a.thinRequests, p, own.Requests)}
		}
	}
	if limit := limits.TokensPerSecond; limit > 0 {
		p := part(limit, own.Tokens, others.Tokens)
		b := bucket(&a.tokenBucket, limit)
		if !a.thinTokens.take(p) || !b.AllowN(now, min(int(expected), b.Burst())) {
			return &LimitedError{organisation, TokensPerSecond, limit, retryAfter(a.thinTokens, p, own.Requests)}
		}
	}
	a.inFlight++
	return nil
}

// bucket returns the token bucket at the whole limit.
func bucket(b **rate.Limiter, limit float64) *rate.Limiter {
	if *b == nil || float64((*b).Limit()) != limit {
		*b = rate.NewLimiter(rate.Limit(limit), max(1, int(burstSeconds*limit)))
	}
	return *b
}

// retryAfter estimates when the thinner takes a request again, at a demand in
// requests a second.
func retryAfter(t thinner, part, demand float64) time.Duration {
	if demand <= 0 {
		return maxRetryAfter
	}
	s := (1 - t.carry) / (part * demand)
	return min(max(time.Duration(s*float64(time.Second)), minRetryAfter), maxRetryAfter)
}

// Done ends the request. tokens is the number of tokens that it generated; a
// negative number says that it is unknown. Further calls do nothing.
func (g *Grant) Done(tokens float64) {
	g.once.Do(func() { g.limiter.done(g, tokens) })
}

func (l *Limiter) done(g *Grant, tokens float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(g.organisation)
	a.inFlight = max(0, a.inFlight-1)
	if tokens >= 0 && g.expected > 0 {
		a.tokenRatio += learnWeight * (tokens/g.expected - a.tokenRatio)
	}
}

func (l *Limiter) account(organisation string) *account {
	a, ok := l.accounts[organisation]
	if !ok {
		a = &account{
			tokenRatio:   1,
			thinRequests: thinner{l.rng.Float64()},
			thinTokens:   thinner{l.rng.Float64()},
		}
		l.accounts[organisation] = a
	}
	return a
}

func (l *Limiter) own(a *account, now time.Time) Usage {
	return Usage{
		Requests:   a.requests.value(now, l.cfg.Window),
		Tokens:     a.tokens.value(now, l.cfg.Window),
		Concurrent: float64(a.inFlight),
	}
}

// othersOf returns what counts of the others' demand.
func (l *Limiter) othersOf(a *account, now time.Time) Usage {
	silence := now.Sub(l.told) > l.cfg.ReportTTL
	if !silence && now.Sub(a.told) > l.cfg.ReportTTL {
		return Usage{}
	}
	return a.others
}

// Demand returns the demand at this node, for the report to the others. It
// forgets organisations of which neither this node nor the others have demand.
func (l *Limiter) Demand() map[string]Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	out := make(map[string]Usage)
	for name, a := range l.accounts {
		u := l.own(a, now)
		if u.Requests < idleRate && a.inFlight == 0 && now.Sub(a.told) > l.cfg.ReportTTL {
			delete(l.accounts, name)
			continue
		}
		out[name] = u
	}
	return out
}

// Observe takes the sum of the other nodes' demand. Organisations that are
// absent keep what was told before, for the configured time.
func (l *Limiter) Observe(others map[string]Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.told = time.Now()
	for name, u := range others {
		a := l.account(name)
		a.others, a.told = u, l.told
	}
}
