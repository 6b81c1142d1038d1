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
	// burstSeconds sets the capacity of a node's token bucket: as much as the
	// whole limit allows in this many seconds.
	burstSeconds = 2
	// tokenRatioWeight is the weight of the latest request in the moving average
	// tokenRatio.
	tokenRatioWeight = 0.1
	// minDemand is the demand, in requests per second, below which an idle
	// organisation's account is deleted.
	minDemand = 1e-4
	// minRetryAfter and maxRetryAfter limit the retry hint to callers.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// counts holds the counters of all limiters of the process. Its keys are
// "admitted" and "refused " followed by the kind of limit.
var counts = expvar.NewMap("quota")

// Config configures a Limiter.
type Config struct {
	// Window is the time constant with which measured demand decays.
	Window time.Duration
	// ReportTTL is how long the last report of an organisation's demand at the
	// other nodes is used. If no report of any organisation has arrived for that
	// time, the last reports stay in use.
	ReportTTL time.Duration
}

// Limiter applies the limits at one entry node. It is safe for concurrent use.
type Limiter struct {
	cfg Config

	mu       sync.Mutex
	rng      *rand.Rand
	accounts map[string]*account
	// observed is when the demand at the other nodes was last reported for any
	// organisation.
	observed time.Time
}

// account is the state of one organisation.
type account struct {
	requests, tokens             decayingRate
	requestSampler, tokenSampler sampler
	requestBucket, tokenBucket   *rate.Limiter
	inFlight                     int
	// tokenRatio is the moving average of generated divided by expected tokens.
	tokenRatio float64
	// others is the last reported demand at the other nodes, and observed is when
	// it was reported.
	others   Usage
	observed time.Time
}

// New returns a Limiter. rng is used only under the limiter's lock.
func New(cfg Config, rng *rand.Rand) (*Limiter, error) {
	if cfg.Window <= 0 {
		return nil, &ConfigError{Field: "window", Value: int64(cfg.Window)}
	}
	if cfg.ReportTTL <= 0 {
		return nil, &ConfigError{Field: "report_ttl", Value: int64(cfg.ReportTTL)}
	}
	return &Limiter{cfg: cfg, rng: rng, accounts: make(map[string]*account)}, nil
}

// Grant is an admitted request. Done must be called when the request has ended.
type Grant struct {
	limiter      *Limiter
	organisation string
	expected     float64
	once         sync.Once
}

// Admit counts a request and admits or refuses it without waiting. tokens is the
// maximum number of tokens that the request may generate. The error is a
// *LimitedError.
func (l *Limiter) Admit(organisation string, limits deployment.Limits, tokens float64) (*Grant, error) {
	l.mu.Lock()
	err := l.admit(organisation, limits, tokens)
	l.mu.Unlock()
	if err != nil {
		counts.Add("refused "+err.Kind.String(), 1)
		klog.Infof("quota: refused a request of %s: limit %s %g, retry after %v",
			organisation, err.Kind, err.Limit, err.RetryAfter)
		return nil, err
	}
	counts.Add("admitted", 1)
	return &Grant{limiter: l, organisation: organisation, expected: tokens}, nil
}

func (l *Limiter) admit(organisation string, limits deployment.Limits, tokens float64) *LimitedError {
	now := time.Now()
	a := l.account(organisation)
	others := l.othersDemand(a, now)
	// The demand is read before this request is counted. One request adds 1/Window
	// to the rate, so it could exceed a small limit even after a long pause.
	own := l.ownDemand(a, now)
	expected := tokens * a.tokenRatio
	a.requests.add(now, l.cfg.Window, 1)
	a.tokens.add(now, l.cfg.Window, expected)

	if limit := float64(limits.Concurrent); limit > 0 && own.Concurrent+others.Concurrent >= limit {
		return &LimitedError{organisation, Concurrent, limit, minRetryAfter}
	}
	if limit := limits.RequestsPerSecond; limit > 0 {
		fraction := admittedFraction(limit, own.Requests, others.Requests)
		if !a.requestSampler.admit(fraction) || !bucketFor(&a.requestBucket, limit).AllowN(now, 1) {
			return &LimitedError{organisation, RequestsPerSecond, limit, retryAfter(a.requestSampler, fraction, own.Requests)}
		}
	}
	if limit := limits.TokensPerSecond; limit > 0 {
		fraction := admittedFraction(limit, own.Tokens, others.Tokens)
		b := bucketFor(&a.tokenBucket, limit)
		if !a.tokenSampler.admit(fraction) || !b.AllowN(now, min(int(expected), b.Burst())) {
			return &LimitedError{organisation, TokensPerSecond, limit, retryAfter(a.tokenSampler, fraction, own.Requests)}
		}
	}
	a.inFlight++
	return nil
}

// bucketFor returns the token bucket with the rate of the whole limit. It
// creates or replaces *b if necessary.
func bucketFor(b **rate.Limiter, limit float64) *rate.Limiter {
	if *b == nil || float64((*b).Limit()) != limit {
		*b = rate.NewLimiter(rate.Limit(limit), max(1, int(burstSeconds*limit)))
	}
	return *b
}

// retryAfter estimates when the sampler admits the next request. demand is in
// requests per second.
func retryAfter(s sampler, fraction, demand float64) time.Duration {
	if demand <= 0 {
		return maxRetryAfter
	}
	seconds := (1 - s.remainder) / (fraction * demand)
	return min(max(time.Duration(seconds*float64(time.Second)), minRetryAfter), maxRetryAfter)
}

// Done ends the request. tokens is the number of tokens that it generated, or
// negative if unknown. Further calls do nothing.
func (g *Grant) Done(tokens float64) {
	g.once.Do(func() { g.limiter.done(g, tokens) })
}

func (l *Limiter) done(g *Grant, tokens float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(g.organisation)
	a.inFlight = max(0, a.inFlight-1)
	if tokens >= 0 && g.expected > 0 {
		a.tokenRatio += tokenRatioWeight * (tokens/g.expected - a.tokenRatio)
	}
}

func (l *Limiter) account(organisation string) *account {
	a, ok := l.accounts[organisation]
	if !ok {
		a = &account{
			tokenRatio:     1,
			requestSampler: sampler{l.rng.Float64()},
			tokenSampler:   sampler{l.rng.Float64()},
		}
		l.accounts[organisation] = a
	}
	return a
}

func (l *Limiter) ownDemand(a *account, now time.Time) Usage {
	return Usage{
		Requests:   a.requests.value(now, l.cfg.Window),
		Tokens:     a.tokens.value(now, l.cfg.Window),
		Concurrent: float64(a.inFlight),
	}
}

// othersDemand returns the last reported demand at the other nodes. It returns zero
// if that report is older than ReportTTL although reports of other organisations
// still arrive.
func (l *Limiter) othersDemand(a *account, now time.Time) Usage {
	noReports := now.Sub(l.observed) > l.cfg.ReportTTL
	if !noReports && now.Sub(a.observed) > l.cfg.ReportTTL {
		return Usage{}
	}
	return a.others
}

// Demand returns the demand at this node, to be reported to the other nodes. It
// deletes the accounts of organisations without demand here and without a report
// within ReportTTL.
func (l *Limiter) Demand() map[string]Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	out := make(map[string]Usage)
	for name, a := range l.accounts {
		u := l.ownDemand(a, now)
		if u.Requests < minDemand && a.inFlight == 0 && now.Sub(a.observed) > l.cfg.ReportTTL {
			delete(l.accounts, name)
			continue
		}
		out[name] = u
	}
	return out
}

// Observe sets the total demand at the other nodes, as returned by Sum.Others. If
// others lacks an organisation, its last value stays in use for ReportTTL.
func (l *Limiter) Observe(others map[string]Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observed = time.Now()
	for name, u := range others {
		a := l.account(name)
		a.others, a.observed = u, l.observed
	}
}
