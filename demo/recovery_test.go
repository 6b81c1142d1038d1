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

// pause is how long a test waits between two looks at the demo.
const pause = 20 * time.Millisecond

func demoSecret(t *testing.T) peer.Secret {
	t.Helper()
	secret, err := peer.NewSecret(Secret)
	assert.NilError(t, err)
	return secret
}

// replaceEntry ends an entry node at once and starts another one in its place,
// which knows nothing.
func replaceEntry(t *testing.T, d *Demo, i int) {
	t.Helper()
	d.entries[i].Abort()
	e, err := node.StartEntry(d.entrySettings[i], demoSecret(t), nil)
	assert.NilError(t, err)
	d.entries[i] = e
}

func replaceAgent(t *testing.T, d *Demo, i int) {
	t.Helper()
	d.agents[i].Abort()
	a, err := node.StartAgent(d.agentSettings[i], demoSecret(t), nil)
	assert.NilError(t, err)
	d.agents[i] = a
}

// ask makes one short generation through an entry node, and repeats it until
// it is whole.
func ask(t *testing.T, d *Demo, entry int, prompt string) {
	t.Helper()
	assert.Equal(t, askUntilWhole(t, d, entry, prompt, 2), wholeText(prompt, 2))
}

func TestEntryStartsFromPeersWhileTheTableIsDown(t *testing.T) {
	d := startDemo(t)
	defer func() { assert.NilError(t, d.Stop(context.Background())) }()
	d.table.SetFaults(tablestandin.Faults{Down: true})
	replaceEntry(t, d, 1)
	for d.entries[1].Ready() != "" {
		time.Sleep(pause)
	}
	ask(t, d, 1, "from peers")
}

func TestAllEntriesReplacedAtOnce(t *testing.T) {
	d := startDemo(t)
	defer func() { assert.NilError(t, d.Stop(context.Background())) }()
	for i := range d.entries {
		replaceEntry(t, d, i)
	}
	for i := range d.entries {
		for d.entries[i].Ready() != "" {
			time.Sleep(pause)
		}
		ask(t, d, i, fmt.Sprintf("through entry %d", i))
	}
}

func TestAllAgentsReplacedOneAfterTheOther(t *testing.T) {
	d := startDemo(t)
	defer func() { assert.NilError(t, d.Stop(context.Background())) }()
	for i := range d.agents {
		replaceAgent(t, d, i)
		ask(t, d, 0, fmt.Sprintf("while agent %d is new", i))
	}
	resp := reserve(t, d, "order-4")
	resp.Body.Close()
	reserveUntilCreated(t, d, "order-4")
	assert.Equal(t, d.service.Runs("order-4"), 1)
}

// TestLeavingAgentFinishesItsWork stops the agent of a running stream.
func TestLeavingAgentFinishesItsWork(t *testing.T) {
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
	assert.Equal(t, text, wholeText("leaving", tokens))
	assert.NilError(t, <-stopped)
	begun := len(rank.Runs())
	for n := range 16 {
		ask(t, d, n, "after")
	}
	assert.Equal(t, len(rank.Runs()), begun)
}

func TestPeersNeedTheSecret(t *testing.T) {
	d := startDemo(t)
	defer func() { assert.NilError(t, d.Stop(context.Background())) }()
	for _, address := range []string{d.config.Endpoints[0].Agent, d.OperatorAddresses()[0]} {
		resp, err := http.Get("http://" + address + "/debug/vars")
		assert.NilError(t, err)
		resp.Body.Close()
		assert.Equal(t, resp.StatusCode, http.StatusUnauthorized)
	}
	other, err := peer.NewSecret(strings.Repeat("x", 16))
	assert.NilError(t, err)
	assert.Equal(t, fmt.Sprintf("%v %+v %#v", other, other, other), "(secret) (secret) (secret)")
}
