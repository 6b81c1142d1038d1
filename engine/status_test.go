package engine

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/cyclamenpoint/cyclamenpoint/upstream"
)

// headSink records whether an answer has begun.
type headSink struct{ status int }

func (s *headSink) Head(status int, _ []Header) error { s.status = status; return nil }
func (s *headSink) Data([]byte, int64) error          { return nil }

// TestInvalidStatusIsNoAnswer guards against callers who get a status that HTTP does not have.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000 None", "099 Odd", "600 Odd", "999 Odd"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		go func() {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n", status)
			}
		}()
		sink := &headSink{}
		err = NewClient(l.Addr().String()).Run(context.Background(), Call{Method: http.MethodGet, Path: "/"}, sink)
		var invalid *upstream.InvalidStatusError
		assert.Assert(t, errors.As(err, &invalid), "%s: %v", status, err)
		assert.Equal(t, sink.status, 0, "the answer has begun")
		assert.NilError(t, l.Close())
	}
}
