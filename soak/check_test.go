// Package soak runs the built programs as processes on one machine, injects
// faults into the processes, their connections and the systems around them, and
// checks what callers and endpoints observe.
package soak

import (
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cyclamenpoint/cyclamenpoint/standin/endpoint"
)

// kind is the kind of a request. Its number is the path prefix of its route.
type kind int

// Requests of kind safe may be executed more than once, those of kind atMostOnce
// may not, and those of kind stream are answered by a stream that may be resumed.
const (
	safe kind = iota
	atMostOnce
	stream
)

// streamEvents is the number of events in a stream.
const streamEvents = 20

// request is one request as observed by its caller.
type request struct {
	id   string
	kind kind
	// status is the status code of the answer, or 0 without an answer.
	status int
	// complete is true if the answer was received up to its end.
	complete bool
	// seal is the answer's X-Response-Seal header, which names the endpoint that
	// answered.
	seal string
	body string
}

// history records the requests of all callers. It is safe for concurrent use.
type history struct {
	mu       sync.Mutex
	requests map[string]request
}

// set records a request, or replaces its record.
func (h *history) set(q request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests[q.id] = q
}

func (h *history) all() map[string]request {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := make(map[string]request, len(h.requests))
	for id, q := range h.requests {
		all[id] = q
	}
	return all
}

// meansNotExecuted reports whether a status code promises the caller that the
// request was not executed.
func meansNotExecuted(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// check compares what callers observed with what the endpoints executed, and
// returns the violations.
func check(requests map[string]request, runs []endpoint.Run) []string {
	var violations []string
	executions := make(map[string]int)
	for _, run := range runs {
		executions[run.ID]++
		q, known := requests[run.ID]
		switch {
		case !known:
			violations = append(violations, "unsent: "+run.ID+" was executed but no caller sent it")
		case run.Tenant != "org" || run.Credential != "":
			violations = append(violations, fmt.Sprintf("credential: %s was executed for organisation %q with credential %q", run.ID, run.Tenant, run.Credential))
		case run.Body != bodyOf(q.id):
			violations = append(violations, "unsent: "+run.ID+" was executed with a body that its caller did not send")
		}
	}
	for id, q := range requests {
		if q.kind == atMostOnce && executions[id] > 1 {
			violations = append(violations, fmt.Sprintf("twice: %s was executed %d times", id, executions[id]))
		}
		if q.kind == atMostOnce && meansNotExecuted(q.status) && executions[id] > 0 {
			violations = append(violations, fmt.Sprintf("refused: %s was executed, but its caller received status %d, which means not executed", id, q.status))
		}
		if violation := q.checkAnswer(); violation != "" {
			violations = append(violations, violation)
		}
	}
	return violations
}

var eventPattern = regexp.MustCompile(`id: (\d+)\ndata: token (\d+)\n\n`)

// checkAnswer returns what is wrong with the answer of a successful request, or
// an empty string. Incomplete answers are checked only if they are streams.
func (q request) checkAnswer() string {
	if q.status != http.StatusOK || (!q.complete && q.kind != stream) {
		return ""
	}
	if !strings.HasPrefix(q.seal, "seal-of-") {
		return "mismatch: " + q.id + " has no seal"
	}
	if q.kind != stream {
		if want := "answer of " + strings.TrimPrefix(q.seal, "seal-of-") + " to " + q.id; q.body != want {
			return fmt.Sprintf("mismatch: %s received %q", q.id, q.body)
		}
		return ""
	}
	return q.checkStream()
}

// checkStream returns what is wrong with the events of a stream, or an empty
// string.
func (q request) checkStream() string {
	rest, expected := q.body, 1
	for {
		match := eventPattern.FindStringSubmatchIndex(rest)
		if match == nil || match[0] != 0 {
			break
		}
		if got := rest[match[2]:match[3]]; got != fmt.Sprint(expected) {
			return fmt.Sprintf("order: %s has event %s instead of %d", q.id, got, expected)
		}
		expected++
		rest = rest[match[1]:]
	}
	if q.complete && (rest != "" || expected != streamEvents+1) {
		return fmt.Sprintf("order: %s ended without an error after event %d, rest %q", q.id, expected-1, rest)
	}
	return ""
}

func bodyOf(id string) string { return "body of " + id }

// TestInjectedFaults verifies that check finds each kind of violation, and only
// that one.
func TestInjectedFaults(t *testing.T) {
	events := func(ids ...int) string {
		text := ""
		for _, id := range ids {
			text += fmt.Sprintf("id: %d\ndata: token %d\n\n", id, id)
		}
		return text
	}
	good := request{id: "a", kind: atMostOnce, status: 200, complete: true, seal: "seal-of-e", body: "answer of e to a"}
	ran := endpoint.Run{ID: "a", Tenant: "org", Body: bodyOf("a")}
	for _, c := range []struct {
		name    string
		request request
		runs    []endpoint.Run
		want    string
	}{
		{"no violation", good, []endpoint.Run{ran}, ""},
		{"executed twice", good, []endpoint.Run{ran, ran}, "twice"},
		{"executed after a rejection", request{id: "a", kind: atMostOnce, status: 503, complete: true}, []endpoint.Run{ran}, "refused"},
		{"executed with unknown outcome", request{id: "a", kind: atMostOnce, status: 502, complete: true}, []endpoint.Run{ran}, ""},
		{"request that no caller sent", good, []endpoint.Run{ran, {ID: "b", Tenant: "org"}}, "unsent"},
		{"request with another body", good, []endpoint.Run{{ID: "a", Tenant: "org", Body: "x"}}, "unsent"},
		{"credential passed on", good, []endpoint.Run{{ID: "a", Tenant: "org", Credential: "k", Body: bodyOf("a")}}, "credential"},
		{"executed for another organisation", good, []endpoint.Run{{ID: "a", Tenant: "x", Body: bodyOf("a")}}, "credential"},
		{"no seal", request{id: "a", status: 200, complete: true, body: "answer of e to a"}, nil, "mismatch"},
		{"answer to another request", request{id: "a", status: 200, complete: true, seal: "seal-of-e", body: "answer of e to b"}, nil, "mismatch"},
		{"missing event", request{id: "a", kind: stream, status: 200, seal: "seal-of-e", body: events(1, 3)}, nil, "order"},
		{"duplicate event", request{id: "a", kind: stream, status: 200, seal: "seal-of-e", body: events(1, 1)}, nil, "order"},
		{"stream ended early without an error", request{id: "a", kind: stream, status: 200, complete: true, seal: "seal-of-e", body: events(1, 2)}, nil, "order"},
		{"interrupted stream", request{id: "a", kind: stream, status: 200, seal: "seal-of-e", body: events(1, 2)}, nil, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			violations := check(map[string]request{"a": c.request}, c.runs)
			if c.want == "" {
				assert.Equal(t, len(violations), 0, "%v", violations)
				return
			}
			assert.Equal(t, len(violations), 1, "%v", violations)
			assert.Assert(t, strings.HasPrefix(violations[0], c.want+":"), violations[0])
		})
	}
}
