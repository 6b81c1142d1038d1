package rpc

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1/cyclamenpointv1connect"
	"github.com/cyclamenpoint/cyclamenpoint/mapswitch"
)

// inbox records the messages that it receives.
type inbox struct {
	received []mapswitch.Envelope
	err      error
}

func (b *inbox) Deliver(env mapswitch.Envelope) error {
	b.received = append(b.received, env)
	return b.err
}

func newPair(t *testing.T, group string, b *inbox) *Transport {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(cyclamenpointv1connect.NewRankGroupServiceHandler(NewServer("g", b)))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return NewTransport(group, server.Client(), map[mapswitch.Rank]string{1: server.URL})
}

func TestMessageRoundTrip(t *testing.T) {
	ref := mapswitch.Ref{Version: 7, Hash: "h"}
	m := mapswitch.Map{Ref: ref, Data: "\x00\xff"}
	id := mapswitch.ID{Token: 3, Seq: 4}
	p := mapswitch.Proposal{ID: id, Epoch: 5, Members: mapswitch.Ranks(0, 1, 64, 255), Map: ref, Step: 6}
	rec := mapswitch.Record{Epoch: 5, Members: mapswitch.Ranks(1, 65), Engines: mapswitch.PackEngines([]uint64{8, 1 << 63}), Map: ref, Token: 3}
	b := &inbox{}
	transport := newPair(t, "g", b)
	for i, msg := range []mapswitch.Message{
		mapswitch.Inquire{Token: 1, Epoch: 2, Load: m},
		mapswitch.Report{Token: 1, Incarnation: 2, Engine: 3, Epoch: 4, Step: 5, InForce: ref, Ready: mapswitch.Ref{Version: 8}, SwitchInProgress: true, Refused: mapswitch.ReasonBusy},
		mapswitch.Propose{Proposal: p, Incarnation: 9},
		mapswitch.Ask{Proposal: p},
		mapswitch.Vote{ID: id, Yes: true, Reason: mapswitch.ReasonClosed},
		mapswitch.Decide{Proposal: p, Commit: true, Reason: mapswitch.ReasonUnanimous},
		mapswitch.Applied{ID: id},
		mapswitch.Form{Token: 1, Record: rec, Data: "x"},
		mapswitch.Formed{Token: 1, Epoch: 2},
	} {
		env := mapswitch.Envelope{From: 0, To: 1, Msg: msg}
		assert.NilError(t, transport.Send(t.Context(), env))
		assert.Equal(t, b.received[i], env)
	}
}

func TestInvalidMessagesAreRejected(t *testing.T) {
	ask := func(p mapswitch.Proposal) mapswitch.Envelope {
		return mapswitch.Envelope{From: 0, To: 1, Msg: mapswitch.Ask{Proposal: p}}
	}
	good := mapswitch.Proposal{ID: mapswitch.ID{Token: 1, Seq: 1}}
	for _, tc := range []struct {
		name  string
		group string
		err   error
		env   mapswitch.Envelope
		want  connect.Code
	}{
		{"other group", "other", nil, ask(good), connect.CodeInvalidArgument},
		{"no proposal id", "g", nil, ask(mapswitch.Proposal{}), connect.CodeInvalidArgument},
		{"queue full", "g", &mapswitch.QueueFullError{}, ask(good), connect.CodeResourceExhausted},
		{"other rank", "g", &mapswitch.ReceiverError{}, ask(good), connect.CodeInvalidArgument},
	} {
		t.Run(tc.name, func(t *testing.T) {
			err := newPair(t, tc.group, &inbox{err: tc.err}).Send(t.Context(), tc.env)
			assert.Equal(t, connect.CodeOf(err), tc.want)
		})
	}
}
