package gossip_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenpoint/cyclamenpoint/gossip"
	"github.com/cyclamenpoint/cyclamenpoint/platform"
	"github.com/cyclamenpoint/cyclamenpoint/standin/rowstore"
)

// TestRowLostInRestoreIsWrittenAgain guards against processes that the others do not find any
// more after the store has lost their rows in a restore, and against more writes than lost rows.
func TestRowLostInRestoreIsWrittenAgain(t *testing.T) {
	const (
		processes, late = 12, 5
		rewriteTime     = 8 * time.Second
	)
	rows := rowstore.New()
	server := httptest.NewServer(rows)
	defer server.Close()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer server.CloseClientConnections()
	defer cancel()
	start := func(i int) *gossip.Registry {
		n := gossip.Node{Name: fmt.Sprint("n", i), Kind: gossip.KindEntry}
		if i%2 == 1 {
			n.Kind = gossip.KindAgent
		}
		store := platform.NewStore(strings.TrimPrefix(server.URL, "http://"), http.DefaultTransport)
		r := gossip.NewRegistry("nodes", store, n, slog.New(slog.DiscardHandler), func([]gossip.Node) {})
		if n.Kind == gossip.KindAgent {
			r.SetRank("g", i, processes)
		}
		running.Go(func() { r.Run(ctx) })
		return r
	}
	awaitRows := func(want int) {
		t.Helper()
		for end := time.Now().Add(rewriteTime); ; time.Sleep(time.Millisecond) {
			listed, _ := rows.Rows("nodes")
			if listed == want {
				return
			}
			assert.Assert(t, time.Now().Before(end), "%d of %d processes are registered", listed, want)
		}
	}
	var registries []*gossip.Registry
	for i := range processes - late {
		registries = append(registries, start(i))
	}
	awaitRows(processes - late)
	snapshot := rows.Snapshot()
	for i := processes - late; i < processes; i++ {
		registries = append(registries, start(i))
	}
	awaitRows(processes)
	for range 2 {
		_, before := rows.Rows("nodes")
		rows.Restore(snapshot)
		awaitRows(processes)
		time.Sleep(2 * time.Second)
		_, after := rows.Rows("nodes")
		assert.Equal(t, after, before, "rows that were lost are written once, others are not")
	}
	for _, r := range registries {
		assert.Assert(t, len(r.Nodes()) <= processes)
	}
}
