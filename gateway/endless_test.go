package gateway_test

import (
	"net/http"
	"net/http/httptest"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenpoint/cyclamenpoint/standin/rowstore"
)

// endlessBody answers requests for paths that end in "endless" with a body of repeated
// text that goes on until the caller closes, and others with a short body.
func endlessBody(start, repeat string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Response-Seal", "seal")
		if !strings.HasSuffix(r.URL.Path, "endless") {
			_, _ = w.Write([]byte("sound"))
			return
		}
		_, err := w.Write([]byte(start))
		for text := []byte(strings.Repeat(repeat, 1+32<<10/len(repeat))); err == nil; {
			_, err = w.Write(text)
			// All answers grow at the same time.
			time.Sleep(2 * time.Millisecond)
		}
	}
}

// peakHeap returns the largest size of the heap until stop is closed.
func peakHeap(stop <-chan struct{}) <-chan uint64 {
	result := make(chan uint64, 1)
	go func() {
		peak, ticker := uint64(0), time.NewTicker(2*time.Millisecond)
		defer ticker.Stop()
		for {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			peak = max(peak, m.HeapInuse)
			select {
			case <-ticker.C:
			case <-stop:
				result <- peak
				return
			}
		}
	}()
	return result
}

// TestEndlessAnswers guards against faulty endpoints whose answers never end: the gateway
// kept up to 4 MB of each, and with many of them at once it ran out of memory, which ended
// the requests of all callers. The memory of a small VM is 206 MB.
func TestEndlessAnswers(t *testing.T) {
	const callers, memory = 90, 206 << 20
	for _, c := range []struct{ name, path, start, repeat string }{
		{"answer", "/safe/endless", "", "x"},
		{"event that never ends", "/stream/endless", "id: 1\ndata: ", "x"},
		{"comments between events", "/stream/endless", "", ": comment\n"},
		{"blank lines", "/stream/endless", "", "\n"},
		{"an event again and again", "/stream/endless", "", "id: 1\ndata: a\n\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			defer debug.SetGCPercent(debug.SetGCPercent(40))
			gw := &testGateway{t: t, store: rowstore.New(), grace: 400 * time.Millisecond, node: "n1"}
			gw.configure(1, testRoutes())
			for _, id := range []string{"e1", "e2", "e3", "e4", "e5", "e6"} {
				server := httptest.NewServer(endlessBody(c.start, c.repeat))
				t.Cleanup(func() {
					server.CloseClientConnections()
					server.Close()
				})
				gw.listEndpoint(id, strings.TrimPrefix(server.URL, "http://"), "ready")
			}
			gw.start(gw.store)
			gw.waitReady()
			runtime.GC()
			stop := make(chan struct{})
			peak := peakHeap(stop)
			var calls sync.WaitGroup
			for i := range callers {
				calls.Go(func() {
					req, err := http.NewRequest(http.MethodGet, "http://"+gw.address+c.path, nil)
					assert.Check(t, err)
					req.Host = "h"
					req.Header.Set("X-Request-Id", "endless-"+string(rune('a'+i)))
					req.Header.Set("X-Credential", "key")
					req.Header.Set("X-Model", "m")
					req.Header.Set("X-Deadline-Ms", "3000")
					resp, err := http.DefaultClient.Do(req)
					if err != nil {
						return
					}
					defer resp.Body.Close()
					assert.Check(t, c.repeat == "id: 1\ndata: a\n\n" || resp.StatusCode >= http.StatusBadGateway, "status %d", resp.StatusCode)
				})
			}
			time.Sleep(100 * time.Millisecond)
			a := gw.call("GET", "/safe/sound", "")
			assert.Check(t, a.err == nil && (a.status == http.StatusOK || a.status == http.StatusServiceUnavailable), "%d %v", a.status, a.err)
			calls.Wait()
			a = gw.call("GET", "/safe/sound", "")
			assert.Check(t, a.err)
			assert.Check(t, a.status == http.StatusOK, "%d %s", a.status, a.body)
			close(stop)
			// Stacks, the socket buffers and the rest of the process need room too.
			got := <-peak
			t.Logf("largest heap: %d MB", got>>20)
			assert.Check(t, got < memory/2, "%d MB", got>>20)
		})
	}
}
