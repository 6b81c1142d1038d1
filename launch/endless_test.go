package launch

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenpoint/cyclamenpoint/platform"
)

// TestEndlessResponses guards against a store or an engine in trouble that sends bytes
// without end in a head or a body: a call fails after a limit and closes the connection.
func TestEndlessResponses(t *testing.T) {
	calls := map[string]struct {
		call func(ctx context.Context, address string) error
		// limit is the number of bytes after which the call gives up, without what the
		// buffers of both sockets hold.
		limit int
	}{
		"store": {func(ctx context.Context, address string) error {
			_, err := platform.NewStore(address, storeTransport()).Read(ctx, "t")
			return err
		}, 4 << 20},
		"engine": {func(ctx context.Context, address string) error {
			_, err := platform.NewEngine(address, engineTransport()).State(ctx)
			return err
		}, 256 << 10},
		"counts of an engine": {func(ctx context.Context, address string) error {
			_, err := platform.NewEngine(address, engineTransport()).Counts(ctx)
			return err
		}, 256 << 10},
	}
	for what, response := range map[string]struct{ start, repeat string }{
		"status line":       {"HTTP/1.1 200 O", strings.Repeat("K", 1000)},
		"header line":       {"HTTP/1.1 200 OK\r\nX-A: ", strings.Repeat("a", 1000)},
		"number of headers": {"HTTP/1.1 200 OK\r\n", strings.Repeat("X-A: 1\r\n", 100)},
		"body":              {"HTTP/1.1 200 OK\r\n\r\n{", strings.Repeat(" ", 1000)},
		"chunks":            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("[", 0x400) + "\r\n"},
	} {
		for who, c := range calls {
			t.Run(who+", "+what, func(t *testing.T) {
				written := make(chan int, 1)
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				assert.NilError(t, err)
				defer listener.Close()
				go func() {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					defer conn.Close()
					if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
						return
					}
					n, err := io.WriteString(conn, response.start)
					for err == nil {
						var more int
						more, err = io.WriteString(conn, response.repeat)
						n += more
					}
					written <- n
				}()
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				defer cancel()
				assert.Assert(t, c.call(ctx, listener.Addr().String()) != nil)
				const socketBuffers = 12 << 20
				n := <-written
				assert.Assert(t, n <= c.limit+socketBuffers, "%d bytes", n)
			})
		}
	}
}
