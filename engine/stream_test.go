package engine

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// recordingSink is a sink that records what it receives.
type recordingSink struct {
	status int
	events []string
	tokens int64
}

func (s *recordingSink) Head(status int, _ []Header) error {
	s.status = status
	return nil
}

func (s *recordingSink) Data(data []byte, tokens int64) error {
	s.events = append(s.events, string(data))
	s.tokens = tokens
	return nil
}

const oneToken = `{"choices":[{"delta":{"content":"x"}}]}`

// serveEngine serves chat requests with chat and requests for progress with
// progress.
func serveEngine(t *testing.T, chat http.HandlerFunc, progress http.HandlerFunc) *Client {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /chat", chat)
	mux.HandleFunc("GET /requests/{id}", progress)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return NewClient(strings.TrimPrefix(server.URL, "http://"))
}

func run(t *testing.T, client *Client) (*recordingSink, error) {
	t.Helper()
	sink := &recordingSink{}
	err := client.Run(t.Context(), Call{RequestID: "r", Method: http.MethodPost, Path: "/chat"}, sink)
	return sink, err
}

func writeEvents(w http.ResponseWriter, events ...string) {
	w.Header().Set("Content-Type", eventStreamType)
	for _, e := range events {
		_, _ = w.Write([]byte("data: " + e + "\n\n"))
	}
	_ = http.NewResponseController(w).Flush()
}

// respond returns a handler that answers with text.
func respond(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(text)) }
}

func TestStreamWithTerminatorIsComplete(t *testing.T) {
	client := serveEngine(t, func(w http.ResponseWriter, _ *http.Request) {
		writeEvents(w, oneToken, oneToken, "[DONE]")
	}, respond("{}"))
	sink, err := run(t, client)
	assert.NilError(t, err)
	assert.Equal(t, len(sink.events), 2)
	assert.Equal(t, sink.tokens, int64(2))
}

func TestStreamWithoutTerminatorIsBroken(t *testing.T) {
	client := serveEngine(t, func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, oneToken) }, respond("{}"))
	_, err := run(t, client)
	var broken *BrokenError
	assert.Assert(t, errors.As(err, &broken))
	var truncated *TruncatedError
	assert.Assert(t, errors.As(err, &truncated))
}

func TestShortAnswerIsBroken(t *testing.T) {
	client := serveEngine(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "10")
		_, _ = w.Write([]byte("short"))
		panic(http.ErrAbortHandler)
	}, respond("{}"))
	_, err := run(t, client)
	var broken *BrokenError
	assert.Assert(t, errors.As(err, &broken), err)
}

func TestRefusedConnectionDidNotStart(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	address := strings.TrimPrefix(server.URL, "http://")
	server.Close()
	_, err := run(t, NewClient(address))
	var notStarted *NotStartedError
	assert.Assert(t, errors.As(err, &notStarted), err)
}

// TestStalledStream checks that a slow engine, or data that is delayed by one
// check, is not mistaken for a lost connection, and that a lost connection is
// detected.
func TestStalledStream(t *testing.T) {
	tests := []struct {
		name     string
		progress string
		// resumes is true if further events arrive after the first check.
		resumes bool
		lost    bool
	}{
		{"engine is slow", `{"running":true,"tokens":1}`, true, false},
		{"data is delayed", `{"running":true,"tokens":9}`, true, false},
		{"engine stays ahead", `{"running":true,"tokens":9}`, false, true},
		{"request has ended", `{"running":false}`, false, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			requested := make(chan struct{}, 8)
			client := serveEngine(t, func(w http.ResponseWriter, r *http.Request) {
				writeEvents(w, oneToken)
				if !test.resumes {
					<-r.Context().Done()
					return
				}
				<-requested
				writeEvents(w, oneToken, "[DONE]")
			}, func(w http.ResponseWriter, r *http.Request) {
				respond(test.progress)(w, r)
				requested <- struct{}{}
			})
			sink, err := run(t, client)
			var lost *ConnectionLostError
			assert.Equal(t, errors.As(err, &lost), test.lost, "%v", err)
			if !test.lost {
				assert.NilError(t, err)
				assert.Equal(t, sink.tokens, int64(2))
			}
		})
	}
}

func TestCancelledCallerEndsTheCall(t *testing.T) {
	ended := make(chan struct{})
	client := serveEngine(t, func(w http.ResponseWriter, r *http.Request) {
		writeEvents(w, oneToken)
		<-r.Context().Done()
		close(ended)
	}, respond("{}"))
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(10*time.Millisecond, cancel)
	err := client.Run(ctx, Call{RequestID: "r", Method: http.MethodPost, Path: "/chat"}, &recordingSink{})
	var broken *BrokenError
	assert.Assert(t, errors.As(err, &broken), err)
	<-ended
}
