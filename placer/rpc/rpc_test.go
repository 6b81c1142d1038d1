package rpc

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"github.com/cyclamenpoint/cyclamenpoint/engine"
	"github.com/cyclamenpoint/cyclamenpoint/expertmap"
	"github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1/cyclamenpointv1connect"
	"github.com/cyclamenpoint/cyclamenpoint/mapswitch"
	"github.com/cyclamenpoint/cyclamenpoint/placer"
)

// fakeEngine reports one window of an earlier epoch and one of the current epoch.
type fakeEngine struct{}

func (fakeEngine) Experts(context.Context, int64) (engine.ExpertReport, error) {
	return engine.ExpertReport{
		Engine: 1, Epoch: 2, Step: 3, InForce: mapswitch.Ref{Version: 4, Hash: "h"}, Map: []byte{5}, Loaded: []uint16{6, 0xFFFF},
		Windows: []engine.ExpertWindow{{Epoch: 1, Window: 9, Counts: []uint32{1}}, {Epoch: 2, Window: 0, Counts: []uint32{7, 8}}},
	}, nil
}

func TestCollect(t *testing.T) {
	s := NewServer("g", 1, fakeEngine{})
	mux := http.NewServeMux()
	mux.Handle(cyclamenpointv1connect.NewPlacementServiceHandler(s))
	server := httptest.NewServer(mux)
	defer server.Close()
	urls := map[mapswitch.Rank]string{0: server.URL, 1: server.URL}
	source := NewSource("g", "engine-0", server.Client(), urls)
	r, err := source.Report(t.Context(), 1, placer.Query{Token: 5, Skew: 1.5, Counts: true, After: -3, Map: true})
	assert.NilError(t, err)
	assert.DeepEqual(t, r, placer.Report{
		Engine: 1, Epoch: 2, Step: 3, InForce: mapswitch.Ref{Version: 4, Hash: "h"}, Map: []byte{5},
		Loaded: []expertmap.Expert{6, expertmap.Empty}, Windows: []placer.Window{{Window: 0, Counts: []uint32{7, 8}}},
	})
	assert.Equal(t, s.CoordinatorStatus(), CoordinatorStatus{Token: 5, Coordinator: "engine-0", Skew: 1.5})
	_, err = source.Report(t.Context(), 1, placer.Query{Token: 4})
	assert.Equal(t, connect.CodeOf(err), connect.CodeFailedPrecondition)
	_, err = source.Report(t.Context(), 0, placer.Query{Token: 6})
	assert.Equal(t, connect.CodeOf(err), connect.CodeInvalidArgument)
	assert.Equal(t, s.CoordinatorStatus().Token, uint64(5))
}
