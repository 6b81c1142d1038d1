package gateway

import (
	"log/slog"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/cyclamenpoint/cyclamenpoint/discovery"
	"github.com/cyclamenpoint/cyclamenpoint/evacuation"
	"github.com/cyclamenpoint/cyclamenpoint/follow"
	"github.com/cyclamenpoint/cyclamenpoint/forward"
)

// evacuationBound is the time after the store's acknowledgement of an evacuation from which
// no request may reach the domain.
const evacuationBound = 5 * time.Second

// TestEvacuationFreshness guards against a timing with which a request can reach an evacuated
// domain after the bound. While long polls stay silent, a change arrives with the next
// verification, which follow.TestSilentPolls checks. A request that was given an endpoint just
// before is sent after the time to open a connection. Half of the bound is left for the calls
// and for VMs with little processor time.
func TestEvacuationFreshness(t *testing.T) {
	assert.Assert(t, configTiming.VerifyInterval > 0)
	assert.Assert(t, configTiming.VerifyInterval+upstreamTimeouts.Connect <= evacuationBound/2)
}

// TestEvacuatedRefusal guards against requests that wait for endpoints that an operator has
// taken out of use, and against a service without any endpoint that is refused as evacuated.
func TestEvacuatedRefusal(t *testing.T) {
	e := newEvacuations(slog.New(slog.DiscardHandler))
	e.set(evacuation.NewSet([]string{"a", "b"}), nil, follow.Position{Version: 1})
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
	e := newEvacuations(slog.New(slog.DiscardHandler))
	set := func(domains ...string) { e.set(evacuation.NewSet(domains), nil, follow.Position{Version: 1}) }
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
	before := time.Now()
	set("b", "unknown")
	ended := e.endedAt("a")
	assert.Assert(t, !ended.Before(before) && !ended.After(time.Now()))
	assert.Assert(t, e.endedAt("b").IsZero())
	assert.Equal(t, e.inForce(), 1)
	set()
	assert.Assert(t, e.endedAt("a").Equal(ended))
	assert.Assert(t, !e.endedAt("b").Before(ended))
	assert.Assert(t, e.endedAt("unknown").IsZero())
	list("b")
	assert.Assert(t, e.endedAt("a").IsZero())
}
