package upstream

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// writeEndlessly writes a text again and again until the peer closes the connection,
// and returns the number of bytes written.
func writeEndlessly(conn net.Conn, text string) int {
	written := 0
	for {
		n, err := io.WriteString(conn, text)
		if written += n; err != nil {
			return written
		}
	}
}

// TestEndlessHead guards against endpoints in trouble that send bytes without end where
// a head is due: unbounded, they would fill the memory of the entry node. The exchange
// fails after a limit, before the caller's deadline, and the connection is closed.
func TestEndlessHead(t *testing.T) {
	for name, c := range map[string]struct{ start, repeat string }{
		"no answer at all":   {"", strings.Repeat("x", 1000)},
		"status line":        {"HTTP/1.1 200 O", strings.Repeat("K", 1000)},
		"header line":        {"HTTP/1.1 200 OK\r\nX-A: ", strings.Repeat("a", 1000)},
		"number of headers":  {"HTTP/1.1 200 OK\r\n", "X-A: 1\r\n"},
		"interim answers":    {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"empty lines":        {"HTTP/1.1 200 OK\r\nX-A: 1\r\n", " \r\n"},
		"stale answers":      {"", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"},
		"stale endless body": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("b", 0x400) + "\r\n"},
		"chunk extension":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", strings.Repeat("e", 1000)},
	} {
		t.Run(name, func(t *testing.T) {
			written := make(chan int, 1)
			address := listen(t, func(conn net.Conn) {
				defer conn.Close()
				if readHead(conn) {
					_, err := io.WriteString(conn, c.start)
					assert.Check(t, err)
					written <- writeEndlessly(conn, c.repeat)
				}
			})
			p := NewPool(testTimeouts)
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			conn, err := p.Get(ctx, address, 1, false)
			assert.NilError(t, err)
			conn.AbortOnDone(ctx)
			_, err = conn.Exchange(ctx, request(t, address), matchNone)
			var failed *ExchangeError
			assert.Assert(t, errors.As(err, &failed), "%v", err)
			assert.NilError(t, ctx.Err(), "the exchange went on until the deadline")
			conn.Discard()
			// What was read, and what the buffers of both sockets hold.
			sent := <-written
			assert.Assert(t, sent < 16<<20, "%d bytes", sent)
		})
	}
}
