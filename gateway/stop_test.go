package gateway_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenpoint/cyclamenpoint/standin/endpoint"
)

// TestStopLateRequests guards against requests that are passed on late in the grace period
// of a planned stop and cut at its end: a connection that was accepted before may bring a
// request at any time. Each request gets an answer, and one that says that the request has
// not run is true.
func TestStopLateRequests(t *testing.T) {
	for _, c := range []struct {
		name string
		// begun is the time after the stop signal at which the first bytes of the request
		// are sent, and sent when the last ones are.
		begun, sent time.Duration
		status      int
		runs        int
	}{
		{"in flight at the end", 100 * time.Millisecond, 100 * time.Millisecond, http.StatusBadGateway, 1},
		{"after the node has stopped accepting", 2200 * time.Millisecond, 2200 * time.Millisecond, http.StatusServiceUnavailable, 0},
		{"head in two parts", 100 * time.Millisecond, 2200 * time.Millisecond, http.StatusServiceUnavailable, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			e := endpoint.New("e1")
			e.SetFault(func(string, int) endpoint.Fault { return endpoint.Hang })
			gw := newTestGateway(t, e)
			gw.gateway.Stop()
			gw.grace = 4 * time.Second
			gw.start(gw.store)
			gw.waitReady()
			stopped := make(chan struct{})
			began := time.Now()
			go func() {
				defer close(stopped)
				gw.gateway.Stop()
			}()
			// Another request keeps the node serving until the end.
			other := &testGateway{t: gw.t, address: gw.address, nextID: 1000}
			go func() { other.call("POST", "/once/1", "") }()
			conn, err := net.Dial("tcp", gw.address)
			assert.NilError(t, err)
			defer conn.Close()
			time.Sleep(time.Until(began.Add(c.begun)))
			_, err = fmt.Fprintf(conn, "POST /once/1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: late\r\nX-Credential: key\r\n")
			assert.NilError(t, err)
			time.Sleep(time.Until(began.Add(c.sent)))
			_, err = fmt.Fprintf(conn, "X-Deadline-Ms: 4000\r\nContent-Length: 2\r\n\r\nhi")
			assert.NilError(t, err)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err, "the connection ended without an answer")
			defer resp.Body.Close()
			select {
			case <-stopped:
				t.Error("the process would have ended before the answer")
			default:
			}
			assert.Equal(t, resp.StatusCode, c.status)
			assert.Equal(t, runsOf(e, "late"), c.runs)
			assert.Assert(t, resp.Close, "the connection must not be used again")
			<-stopped
		})
	}
}

// runsOf returns how often a request has run.
func runsOf(e *endpoint.Endpoint, id string) int {
	n := 0
	for _, run := range e.Runs() {
		if run.ID == id {
			n++
		}
	}
	return n
}
