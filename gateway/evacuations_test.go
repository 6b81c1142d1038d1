package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/cyclamenpoint/cyclamenpoint/discovery"
	"github.com/cyclamenpoint/cyclamenpoint/evacuation"
	"github.com/cyclamenpoint/cyclamenpoint/follow"
	"github.com/cyclamenpoint/cyclamenpoint/forward"
	_ "github.com/cyclamenpoint/cyclamenpoint/internal/bubble"
)

// evacuationBound is the time after the store's acknowledgement of an evacuation from which
// no request may reach the domain.
const evacuationBound = 5 * time.Second

// pollSilentSource is a store that answers only calls that do not wait for a change.
type pollSilentSource struct {
	mu      sync.Mutex
	version uint64
}

func (s *pollSilentSource) put() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
}

func (s *pollSilentSource) rows() map[string]follow.Row {
	return map[string]follow.Row{"evacuate/d1": {Key: "evacuate/d1", Version: s.version}}
}

func (s *pollSilentSource) Read(context.Context, string) (follow.Copy, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return follow.Copy{Rows: s.rows(), AsOf: s.version}, nil
}

func (s *pollSilentSource) Changes(ctx context.Context, _ string, after uint64, wait time.Duration) ([]follow.Change, uint64, error) {
	if wait > 0 {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var changes []follow.Change
	if s.version > after {
		changes = append(changes, follow.Change{Row: s.rows()["evacuate/d1"]})
	}
	return changes, s.version, nil
}

// TestEvacuationFreshness guards against a timing of the copy with which a request can reach
// an evacuated domain after the bound: the copy has to change so early that a request that
// was given an endpoint just before is also sent, after the time to open a connection. The
// long polls stay silent, which is the worst case.
func TestEvacuationFreshness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &pollSilentSource{version: 1}
		changed := make(chan struct{}, 1)
		f := follow.New("op", source, configTiming, slog.New(slog.DiscardHandler), func(follow.Copy) { changed <- struct{}{} })
		ctx, cancel := context.WithCancel(t.Context())
		var run sync.WaitGroup
		run.Go(func() { f.Run(ctx) })
		<-changed
		rng := rand.New(rand.NewPCG(1, 1))
		for range 200 {
			time.Sleep(time.Duration(rng.Int64N(int64(3 * time.Second))))
			acknowledged := time.Now()
			source.put()
			<-changed
			applied := time.Since(acknowledged)
			assert.Assert(t, applied+upstreamTimeouts.Connect < evacuationBound, "%s", applied)
		}
		cancel()
		run.Wait()
	})
}

// TestEvacuatedRefusal guards against requests that wait for endpoints that an operator has
// taken out of use, and against a service without any endpoint that is refused as evacuated.
func TestEvacuatedRefusal(t *testing.T) {
	e := newEvacuations(slog.New(slog.DiscardHandler))
	e.set(evacuation.NewSet([]string{"a", "b"}), nil, 1)
	listed := []discovery.Endpoint{{ID: "1", FailureDomain: "a"}, {ID: "2", FailureDomain: "b"}}
	_, err := e.remaining(listed)
	var refused *forward.NoEndpointError
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	assert.Assert(t, refused.Evacuated && !refused.MayRecover && refused.RetryAfter > 0)
	left, err := e.remaining(append(listed, discovery.Endpoint{ID: "3", FailureDomain: "c"}))
	assert.NilError(t, err)
	assert.Equal(t, len(left), 1)
	_, err = e.remaining(nil)
	assert.NilError(t, err)
}

// TestEvacuationEndedAt guards against endpoints that count as warm after an evacuation, and
// against times that are kept for domains that no longer exist.
func TestEvacuationEndedAt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEvacuations(slog.New(slog.DiscardHandler))
		set := func(domains ...string) { e.set(evacuation.NewSet(domains), nil, 1) }
		list := func(domains ...string) {
			var endpoints []discovery.Endpoint
			for _, d := range domains {
				endpoints = append(endpoints, discovery.Endpoint{ID: d, FailureDomain: d, Address: d})
			}
			e.setListed(discovery.NewSet(endpoints))
		}
		// The evacuation is effective before the list of endpoints shows that the domain exists.
		set("a")
		left, err := e.remaining([]discovery.Endpoint{{ID: "a", FailureDomain: "a"}, {ID: "b", FailureDomain: "b"}})
		assert.NilError(t, err)
		assert.Equal(t, len(left), 1)
		list("a", "b")
		assert.Equal(t, e.inForce(), 1)
		assert.Assert(t, e.endedAt("a").IsZero())
		time.Sleep(time.Second)
		set("b", "unknown")
		ended := time.Now()
		assert.Assert(t, e.endedAt("a").Equal(ended))
		assert.Assert(t, e.endedAt("b").IsZero())
		assert.Equal(t, e.inForce(), 1)
		time.Sleep(time.Second)
		set()
		assert.Assert(t, e.endedAt("a").Equal(ended))
		assert.Assert(t, e.endedAt("b").Equal(time.Now()))
		assert.Assert(t, e.endedAt("unknown").IsZero())
		list("b")
		assert.Assert(t, e.endedAt("a").IsZero())
	})
}
