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

// taken is a sink that keeps what it gets.
type taken struct {
	status int
	events []string
	tokens int64
}

func (s *taken) Head(status int, _ []Header) error {
	s.status = status
	return nil
}

func (s *taken) Data(data []byte, tokens int64) error {
	s.events = append(s.events, string(data))
	s.tokens = tokens
	return nil
}

const oneToken = `{"choices":[{"delta":{"content":"x"}}]}`

// serveEngine answers chats with chat and questions for progress with progress.
func serveEngine(t *testing.T, chat http.HandlerFunc, progress http.HandlerFunc) *Client {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /chat", chat)
	mux.HandleFunc("GET /requests/{id}", progress)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return NewClient(strings.TrimPrefix(server.URL, "http://"))
}

func run(t *testing.T, client *Client) (*taken, error) {
	t.Helper()
	sink := &taken{}
	err := client.Run(t.Context(), Call{RequestID: "r", Method: http.MethodPost, Path: "/chat"}, sink)
	return sink, err
}

func writeEvents(w http.ResponseWriter, events ...string) {
	w.Header().Set("Content-Type", eventStream)
	for _, e := range events {
		_, _ = w.Write([]byte("data: " + e + "\n\n"))
	}
	_ = http.NewResponseController(w).Flush()
}

func saying(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(text)) }
}

func TestStreamWithTerminatorIsWhole(t *testing.T) {
	client := serveEngine(t, func(w http.ResponseWriter, _ *http.Request) {
		writeEvents(w, oneToken, oneToken, "[DONE]")
	}, saying("{}"))
	sink, err := run(t, client)
	assert.NilError(t, err)
	assert.Equal(t, len(sink.events), 2)
	assert.Equal(t, sink.tokens, int64(2))
}

func TestStreamWithoutTerminatorIsBroken(t *testing.T) {
	client := serveEngine(t, func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, oneToken) }, saying("{}"))
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
	}, saying("{}"))
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

// TestSilence tells a dead connection from a slow engine and from data that is
// late by one check.
func TestSilence(t *testing.T) {
	tests := []struct {
		name     string
		progress string
		// events follow after the first check has passed.
		late   bool
		silent bool
	}{
		{"engine is slow", `{"running":true,"tokens":1}`, true, false},
		{"data is late", `{"running":true,"tokens":9}`, true, false},
		{"engine is ahead for good", `{"running":true,"tokens":9}`, false, true},
		{"engine has ended", `{"running":false}`, false, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			asked := make(chan struct{}, 8)
			client := serveEngine(t, func(w http.ResponseWriter, r *http.Request) {
				writeEvents(w, oneToken)
				if !test.late {
					<-r.Context().Done()
					return
				}
				<-asked
				writeEvents(w, oneToken, "[DONE]")
			}, func(w http.ResponseWriter, r *http.Request) {
				saying(test.progress)(w, r)
				asked <- struct{}{}
			})
			sink, err := run(t, client)
			var silent *ConnectionLostError
			assert.Equal(t, errors.As(err, &silent), test.silent, "%v", err)
			if !test.silent {
				assert.NilError(t, err)
				assert.Equal(t, sink.tokens, int64(2))
			}
		})
	}
}

func TestGoneCallerEndsTheCall(t *testing.T) {
	ended := make(chan struct{})
	client := serveEngine(t, func(w http.ResponseWriter, r *http.Request) {
		writeEvents(w, oneToken)
		<-r.Context().Done()
		close(ended)
	}, saying("{}"))
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(10*time.Millisecond, cancel)
	err := client.Run(ctx, Call{RequestID: "r", Method: http.MethodPost, Path: "/chat"}, &taken{})
	var broken *BrokenError
	assert.Assert(t, errors.As(err, &broken), err)
	<-ended
}
