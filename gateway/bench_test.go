package gateway_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenpoint/cyclamenpoint/standin/rowstore"
)

// BenchmarkRequest is a small request with a small answer on one connection, with the caller
// and the endpoint in the same process.
func BenchmarkRequest(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Response-Seal", "seal")
		_, _ = w.Write([]byte("sound"))
	}))
	defer server.Close()
	gw := &testGateway{t: b, store: rowstore.New(), grace: 400 * time.Millisecond, node: "n1"}
	gw.configure(1, testRoutes())
	gw.listEndpoint("e1", strings.TrimPrefix(server.URL, "http://"), "ready")
	gw.start(gw.store)
	gw.waitReady()
	body := strings.Repeat("x", 300)
	client := &http.Client{}
	b.ReportAllocs()
	for b.Loop() {
		req, err := http.NewRequest(http.MethodPost, "http://"+gw.address+"/safe/1", strings.NewReader(body))
		assert.NilError(b, err)
		req.Host = "h"
		req.Header.Set("X-Request-Id", "1")
		req.Header.Set("X-Credential", "key")
		resp, err := client.Do(req)
		assert.NilError(b, err)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(b, err)
		assert.NilError(b, resp.Body.Close())
		assert.Equal(b, resp.StatusCode, http.StatusOK)
	}
}
