package demo

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenpoint/cyclamenpoint/node"
	"github.com/cyclamenpoint/cyclamenpoint/peer"
	tablestandin "github.com/cyclamenpoint/cyclamenpoint/standin/table"
)

// readyPollInterval is the interval between two checks of a node's readiness.
const readyPollInterval = 20 * time.Millisecond

func demoSecret(t *testing.T) peer.Secret {
	t.Helper()
	secret, err := peer.NewSecret(Secret)
	assert.NilError(t, err)
	return secret
}

// replaceEntry aborts an entry node and starts a new one, without its state, at
// the same addresses.
func replaceEntry(t *testing.T, d *Demo, i int) {
	t.Helper()
	d.entries[i].Abort()
	e, err := node.StartEntry(d.entrySettings[i], demoSecret(t), nil)
	assert.NilError(t, err)
	d.entries[i] = e
}

// replaceAgent aborts an agent and starts a new one at the same addresses.
func replaceAgent(t *testing.T, d *Demo, i int) {
	t.Helper()
	d.agents[i].Abort()
	a, err := node.StartAgent(d.agentSettings[i], demoSecret(t), nil)
	assert.NilError(t, err)
	d.agents[i] = a
}

// generate runs a short generation through an entry node, and repeats it until it
// completes.
func generate(t *testing.T, d *Demo, entry int, prompt string) {
	t.Helper()
	assert.Equal(t, generateUntilComplete(t, d, entry, prompt, 2), answerText(prompt, 2))
}

func TestEntryStartsFromPeersWhileTheTableIsDown(t *testing.T) {
	d := startDemo(t)
	defer func() { assert.NilError(t, d.Stop(context.Background())) }()
	d.table.SetFaults(tablestandin.Faults{Down: true})
	replaceEntry(t, d, 1)
	for d.entries[1].Ready() != "" {
		time.Sleep(readyPollInterval)
	}
	generate(t, d, 1, "from peers")
}

// TestAllEntriesReplacedAtOnce replaces each entry node without waiting until the
// one before is ready. Both must become ready and serve requests.
func TestAllEntriesReplacedAtOnce(t *testing.T) {
	d := startDemo(t)
	defer func() { assert.NilError(t, d.Stop(context.Background())) }()
	for i := range d.entries {
		replaceEntry(t, d, i)
	}
	for i := range d.entries {
		for d.entries[i].Ready() != "" {
			time.Sleep(readyPollInterval)
		}
		generate(t, d, i, fmt.Sprintf("through entry %d", i))
	}
}

// TestRollingReplacementOfAgents replaces the agents one after the other. A request
// must complete after each replacement, and a reservation at the end must run once.
func TestRollingReplacementOfAgents(t *testing.T) {
	d := startDemo(t)
	defer func() { assert.NilError(t, d.Stop(context.Background())) }()
	for i := range d.agents {
		replaceAgent(t, d, i)
		generate(t, d, 0, fmt.Sprintf("after replacing agent %d", i))
	}
	resp := postReservation(t, d, "order-4")
	resp.Body.Close()
	reserveUntilCreated(t, d, "order-4")
	assert.Equal(t, d.service.Runs("order-4"), 1)
}

// TestStoppingAgentCompletesItsStreams stops the agent of a running stream. The
// stream must complete, and the engine must get no new requests.
func TestStoppingAgentCompletesItsStreams(t *testing.T) {
	const tokens = 30
	d := startDemo(t)
	defer func() { assert.NilError(t, d.Stop(context.Background())) }()
	resp := openStream(t, d, "leaving", tokens)
	defer resp.Body.Close()
	i, rank := rankOf(t, d, resp.Header.Get("X-Request-Id"))
	stopped := make(chan error, 1)
	agent := agentOf(t, d, fmt.Sprintf("engine-%d", i))
	go func() { stopped <- agent.Stop(context.Background()) }()
	text, done := readStream(resp.Body)
	assert.Assert(t, done)
	assert.Equal(t, text, answerText("leaving", tokens))
	assert.NilError(t, <-stopped)
	startedBefore := len(rank.Runs())
	for n := range 16 {
		generate(t, d, n, "after")
	}
	assert.Equal(t, len(rank.Runs()), startedBefore)
}

// TestPeerAPIsRequireTheSecret guards against serving peers or operators without the
// secret, and against revealing the secret by formatting it.
func TestPeerAPIsRequireTheSecret(t *testing.T) {
	d := startDemo(t)
	defer func() { assert.NilError(t, d.Stop(context.Background())) }()
	for _, address := range []string{d.config.Endpoints[0].Agent, d.OperatorAddresses()[0]} {
		resp, err := http.Get("http://" + address + "/debug/vars")
		assert.NilError(t, err)
		resp.Body.Close()
		assert.Equal(t, resp.StatusCode, http.StatusUnauthorized)
	}
	secret, err := peer.NewSecret(strings.Repeat("x", 16))
	assert.NilError(t, err)
	assert.Equal(t, fmt.Sprintf("%v %+v %#v", secret, secret, secret), "(secret) (secret) (secret)")
}
