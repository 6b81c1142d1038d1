// Package soak runs the real programs as processes on one machine and injects
// faults from outside them, while it checks what callers and endpoints see.
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

// kind is the kind of a request.
type kind int

const (
	safe kind = iota
	once
	stream
)

// streamEvents is the length of a stream.
const streamEvents = 20

// request is one request as its caller saw it.
type request struct {
	id   string
	kind kind
	// status is 0 if no answer came; whole is true if the answer came to its end.
	status int
	whole  bool
	seal   string
	body   string
}

// record gathers what callers saw. It is safe for concurrent use.
type record struct {
	mu       sync.Mutex
	requests map[string]request
}

func (r *record) add(q request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[q.id] = q
}

func (r *record) all() map[string]request {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make(map[string]request, len(r.requests))
	for id, q := range r.requests {
		all[id] = q
	}
	return all
}

// promised reports whether a status says that the request has not run.
func promised(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// check compares what callers saw with what ran, and returns what is broken.
func check(requests map[string]request, runs []endpoint.Run) []string {
	var broken []string
	count := make(map[string]int)
	for _, run := range runs {
		count[run.ID]++
		q, known := requests[run.ID]
		switch {
		case !known:
			broken = append(broken, "unasked: "+run.ID+" ran and nobody sent it")
		case run.Tenant != "org" || run.Credential != "":
			broken = append(broken, fmt.Sprintf("key: %s ran for organisation %q with key %q", run.ID, run.Tenant, run.Credential))
		case run.Body != bodyOf(q.id):
			broken = append(broken, "unasked: "+run.ID+" ran with another body")
		}
	}
	for id, q := range requests {
		if q.kind == once && count[id] > 1 {
			broken = append(broken, fmt.Sprintf("twice: %s ran %d times", id, count[id]))
		}
		if q.kind == once && promised(q.status) && count[id] > 0 {
			broken = append(broken, fmt.Sprintf("refused: %s was told %d and ran", id, q.status))
		}
		if fault := q.fault(); fault != "" {
			broken = append(broken, fault)
		}
	}
	return broken
}

var event = regexp.MustCompile(`id: (\d+)\ndata: token (\d+)\n\n`)

// fault tells what is wrong with a whole successful answer, or "".
func (q request) fault() string {
	if q.status != http.StatusOK || (!q.whole && q.kind != stream) {
		return ""
	}
	if !strings.HasPrefix(q.seal, "seal-of-") {
		return "mixed: " + q.id + " has no seal"
	}
	if q.kind != stream {
		if want := "answer of " + strings.TrimPrefix(q.seal, "seal-of-") + " to " + q.id; q.body != want {
			return fmt.Sprintf("mixed: %s got %q", q.id, q.body)
		}
		return ""
	}
	return q.streamFault()
}

func (q request) streamFault() string {
	rest, next := q.body, 1
	for {
		at := event.FindStringSubmatchIndex(rest)
		if at == nil || at[0] != 0 {
			break
		}
		if got := rest[at[2]:at[3]]; got != fmt.Sprint(next) {
			return fmt.Sprintf("order: %s has event %s where %d is due", q.id, got, next)
		}
		next++
		rest = rest[at[1]:]
	}
	if q.whole && (rest != "" || next != streamEvents+1) {
		return fmt.Sprintf("order: %s looks whole after event %d, rest %q", q.id, next-1, rest)
	}
	return ""
}

func bodyOf(id string) string { return "body of " + id }

// TestPlantedFaults: each promise that is broken on purpose is found.
func TestPlantedFaults(t *testing.T) {
	events := func(ids ...int) string {
		text := ""
		for _, id := range ids {
			text += fmt.Sprintf("id: %d\ndata: token %d\n\n", id, id)
		}
		return text
	}
	good := request{id: "a", kind: once, status: 200, whole: true, seal: "seal-of-e", body: "answer of e to a"}
	ran := endpoint.Run{ID: "a", Tenant: "org", Body: bodyOf("a")}
	for _, c := range []struct {
		name  string
		q     request
		runs  []endpoint.Run
		found string
	}{
		{"nothing", good, []endpoint.Run{ran}, ""},
		{"twice", good, []endpoint.Run{ran, ran}, "twice"},
		{"refused and ran", request{id: "a", kind: once, status: 503, whole: true}, []endpoint.Run{ran}, "refused"},
		{"unknown and ran", request{id: "a", kind: once, status: 502, whole: true}, []endpoint.Run{ran}, ""},
		{"nobody sent it", good, []endpoint.Run{ran, {ID: "b", Tenant: "org"}}, "unasked"},
		{"another body", good, []endpoint.Run{{ID: "a", Tenant: "org", Body: "x"}}, "unasked"},
		{"the key passed on", good, []endpoint.Run{{ID: "a", Tenant: "org", Credential: "k", Body: bodyOf("a")}}, "key"},
		{"another organisation", good, []endpoint.Run{{ID: "a", Tenant: "x", Body: bodyOf("a")}}, "key"},
		{"no seal", request{id: "a", status: 200, whole: true, body: "answer of e to a"}, nil, "mixed"},
		{"another's answer", request{id: "a", status: 200, whole: true, seal: "seal-of-e", body: "answer of e to b"}, nil, "mixed"},
		{"event missing", request{id: "a", kind: stream, status: 200, seal: "seal-of-e", body: events(1, 3)}, nil, "order"},
		{"event twice", request{id: "a", kind: stream, status: 200, seal: "seal-of-e", body: events(1, 1)}, nil, "order"},
		{"looks whole", request{id: "a", kind: stream, status: 200, whole: true, seal: "seal-of-e", body: events(1, 2)}, nil, "order"},
		{"broken off", request{id: "a", kind: stream, status: 200, seal: "seal-of-e", body: events(1, 2)}, nil, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			broken := check(map[string]request{"a": c.q}, c.runs)
			if c.found == "" {
				assert.Equal(t, len(broken), 0, "%v", broken)
				return
			}
			assert.Equal(t, len(broken), 1, "%v", broken)
			assert.Assert(t, strings.HasPrefix(broken[0], c.found+":"), broken[0])
		})
	}
}
