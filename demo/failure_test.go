package demo

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenpoint/cyclamenpoint/node"
	"github.com/cyclamenpoint/cyclamenpoint/problem"
	enginestandin "github.com/cyclamenpoint/cyclamenpoint/standin/engine"
	tablestandin "github.com/cyclamenpoint/cyclamenpoint/standin/table"
)

// openStream begins a stream and returns its answer after the first event.
func openStream(t *testing.T, d *Demo, prompt string, tokens int) *http.Response {
	t.Helper()
	resp := post(t, d.CallerURLs()[0]+"/v1/chat/completions", chatBody(prompt, tokens), http.Header{})
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	return resp
}

// rankOf returns the rank that runs a request.
func rankOf(t *testing.T, d *Demo, requestID string) (int, *enginestandin.Rank) {
	t.Helper()
	for i := range engines {
		rank := d.engines.Rank(i)
		if slices.Contains(rank.Runs(), requestID) {
			return i, rank
		}
	}
	t.Fatalf("no rank runs request %s", requestID)
	return 0, nil
}

// agentOf returns the agent beside an endpoint.
func agentOf(t *testing.T, d *Demo, endpoint string) *node.Agent {
	t.Helper()
	for i, e := range d.config.Endpoints {
		if e.Name == endpoint {
			return d.agents[i]
		}
	}
	t.Fatalf("no endpoint %s", endpoint)
	return nil
}

// TestStreamSurvivesFailures breaks the path of a stream in its middle. The
// caller must get each token of its own answer once.
func TestStreamSurvivesFailures(t *testing.T) {
	const tokens = 15
	tests := []struct {
		name string
		cut  func(t *testing.T, d *Demo, requestID string)
	}{
		{"engine crashes", func(t *testing.T, d *Demo, id string) {
			_, rank := rankOf(t, d, id)
			rank.Crash()
		}},
		{"connection to the engine goes silent", func(t *testing.T, d *Demo, id string) {
			_, rank := rankOf(t, d, id)
			rank.HangStreams()
		}},
		{"agent dies", func(t *testing.T, d *Demo, id string) {
			i, _ := rankOf(t, d, id)
			agentOf(t, d, d.config.Ranks(demoGroup)[i].Name).Abort()
		}},
		{"group stalls", func(_ *testing.T, d *Demo, _ string) {
			d.engines.Stall(4 * time.Second)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := startDemo(t)
			defer func() { assert.NilError(t, d.Stop(context.Background())) }()
			resp := openStream(t, d, test.name, tokens)
			defer resp.Body.Close()
			id := resp.Header.Get("X-Request-Id")
			test.cut(t, d, id)
			text, done := readStream(resp.Body)
			assert.Equal(t, text, wholeText(test.name, tokens))
			assert.Assert(t, done)
		})
	}
}

// TestStalledStreamIsNotMoved shows that a slow engine is not taken for a
// silent connection: the request runs on one rank only.
func TestStalledStreamIsNotMoved(t *testing.T) {
	d := startDemo(t)
	defer func() { assert.NilError(t, d.Stop(context.Background())) }()
	resp := openStream(t, d, "slow", 4)
	defer resp.Body.Close()
	d.engines.Stall(4 * time.Second)
	_, done := readStream(resp.Body)
	assert.Assert(t, done)
	runs := 0
	for i := range engines {
		if slices.Contains(d.engines.Rank(i).Runs(), resp.Header.Get("X-Request-Id")) {
			runs++
		}
	}
	assert.Equal(t, runs, 1)
}

func reserve(t *testing.T, d *Demo, key string) *http.Response {
	t.Helper()
	return post(t, d.CallerURLs()[0]+"/services/desk/reservations", `{"item":"belt"}`, http.Header{"Idempotency-Key": {key}})
}

func TestTableDownRefusesProtectedRequestsAsNotRun(t *testing.T) {
	d := startDemo(t)
	defer func() { assert.NilError(t, d.Stop(context.Background())) }()
	d.table.SetFaults(tablestandin.Faults{Down: true})
	resp := reserve(t, d, "order-2")
	kind, outcome := decodeProblem(t, resp)
	assert.Equal(t, kind, problem.StoreDown.Name)
	assert.Equal(t, outcome, string(problem.NotRun))
	assert.Equal(t, d.service.Runs("order-2"), 0)
	chat := openStream(t, d, "meanwhile", 3)
	text, done := readStream(chat.Body)
	chat.Body.Close()
	assert.Assert(t, done)
	assert.Equal(t, text, wholeText("meanwhile", 3))
	d.table.SetFaults(tablestandin.Faults{})
	reserveUntilCreated(t, d, "order-2")
	assert.Equal(t, d.service.Runs("order-2"), 1)
}

// reserveUntilCreated repeats a reservation while it is refused as not run,
// which the agents may do until they have noticed that the table is back.
func reserveUntilCreated(t *testing.T, d *Demo, key string) {
	t.Helper()
	for {
		resp := reserve(t, d, key)
		if resp.StatusCode == http.StatusCreated {
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			return
		}
		_, outcome := decodeProblem(t, resp)
		assert.Equal(t, outcome, string(problem.NotRun))
		assert.Equal(t, d.service.Runs(key), 0)
	}
}

func TestAgentDeathLeavesAProtectedRequestUnknown(t *testing.T) {
	d := startDemo(t)
	defer func() { assert.NilError(t, d.Stop(context.Background())) }()
	d.service.SetDelay(time.Second)
	answered := make(chan *http.Response, 1)
	go func() { answered <- reserve(t, d, "order-3") }()
	for d.service.Runs("order-3") == 0 {
		time.Sleep(time.Millisecond)
	}
	for i, e := range d.config.Endpoints {
		if strings.HasPrefix(e.Name, demoService) {
			d.agents[i].Abort()
		}
	}
	_, outcome := decodeProblem(t, <-answered)
	assert.Equal(t, outcome, string(problem.Unknown))
	assert.Equal(t, d.service.Runs("order-3"), 1)
}

func TestGoneCallerFreesTheEngine(t *testing.T) {
	d := startDemo(t)
	defer func() { assert.NilError(t, d.Stop(context.Background())) }()
	resp := openStream(t, d, "gone", maxTokens)
	_, rank := rankOf(t, d, resp.Header.Get("X-Request-Id"))
	assert.Equal(t, rank.Active(), 1)
	resp.Body.Close()
	for rank.Active() > 0 {
		time.Sleep(time.Millisecond)
	}
}
