package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

var testTimeouts = Timeouts{Connect: 5 * time.Second, Ack: 5 * time.Second}

// listen calls serve for each connection and returns its address.
func listen(t *testing.T, serve func(net.Conn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return l.Addr().String()
}

// readHead reads the headers of a request. It returns false at the end of the
// connection.
func readHead(conn net.Conn) bool {
	end, buffer := "", make([]byte, 1)
	for len(end) < 4 || end[len(end)-4:] != "\r\n\r\n" {
		if _, err := conn.Read(buffer); err != nil {
			return false
		}
		end += string(buffer)
	}
	return true
}

func request(t *testing.T, address string) *http.Request {
	req, err := http.NewRequest(http.MethodGet, "http://"+address+"/", nil)
	assert.NilError(t, err)
	return req
}

func matchAny(*http.Response) bool { return true }

// matchNone treats each response as one to another request.
func matchNone(*http.Response) bool { return false }

// exchange sends one request and releases the connection.
func exchange(t *testing.T, p *Pool, address string) *Conn {
	c, err := p.Get(context.Background(), address, 2, false)
	assert.NilError(t, err)
	resp, err := c.Exchange(context.Background(), request(t, address), matchAny)
	assert.NilError(t, err)
	_, err = io.ReadAll(resp.Body)
	assert.NilError(t, err)
	idle, ok := Reusable(resp)
	assert.Assert(t, ok)
	c.Release(idle)
	return c
}

// TestReuse: an idle connection is reused unless the endpoint has closed it or
// has sent data that belongs to no request.
func TestReuse(t *testing.T) {
	commands := make(chan string)
	address := listen(t, func(conn net.Conn) {
		defer conn.Close()
		for readHead(conn) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			if text := <-commands; text == "close" {
				return
			} else if text != "" {
				_, _ = io.WriteString(conn, text)
				commands <- "done"
			}
		}
	})
	p := NewPool(testTimeouts)
	first := exchange(t, p, address)
	commands <- ""
	assert.Equal(t, exchange(t, p, address), first)
	commands <- "HTTP/1.1 200 OK\r\n\r\n"
	<-commands
	for first.noInput() {
		time.Sleep(time.Millisecond)
	}
	second := exchange(t, p, address)
	assert.Assert(t, second != first, "stray bytes belong to no request")
	commands <- "close"
	for second.noInput() {
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, exchange(t, p, address) != second)
	commands <- ""
}

// TestLimit: the number of connections never exceeds the limit, and idle
// connections are closed to make room for new ones.
func TestLimit(t *testing.T) {
	address := listen(t, func(net.Conn) {})
	p := NewPool(testTimeouts)
	a, err := p.Get(context.Background(), address, 2, true)
	assert.NilError(t, err)
	b, err := p.Get(context.Background(), address, 2, true)
	assert.NilError(t, err)
	var full *ConnectionLimitError
	_, err = p.Get(context.Background(), address, 2, true)
	assert.Assert(t, errors.As(err, &full))
	b.Release(0)
	c, err := p.Get(context.Background(), address, 2, true)
	assert.NilError(t, err)
	assert.Assert(t, c != b, "a fresh one was requested")
	a.Discard()
	c.Discard()
	assert.Equal(t, len(p.hosts), 0)
}

// TestTotalLimit guards against connections to many endpoints that use up the descriptors of
// the process: idle ones of any endpoint are closed to make room, then no more are opened.
func TestTotalLimit(t *testing.T) {
	first, second := listen(t, func(net.Conn) {}), listen(t, func(net.Conn) {})
	p := NewPool(testTimeouts)
	p.SetMaxConnections(2)
	a, err := p.Get(context.Background(), first, 0, true)
	assert.NilError(t, err)
	b, err := p.Get(context.Background(), first, 0, true)
	assert.NilError(t, err)
	var full *ConnectionLimitError
	_, err = p.Get(context.Background(), second, 0, true)
	assert.Assert(t, errors.As(err, &full))
	b.Release(0)
	c, err := p.Get(context.Background(), second, 0, true)
	assert.NilError(t, err)
	_, err = p.Get(context.Background(), first, 0, false)
	assert.Assert(t, errors.As(err, &full), "the idle connection was closed")
	a.Discard()
	c.Discard()
	assert.Equal(t, len(p.hosts), 0)
	assert.Equal(t, p.open, 0)
}

// TestCancelled: the end of the context aborts a pending exchange, but does not
// affect a connection that has been released.
func TestCancelled(t *testing.T) {
	address := listen(t, func(conn net.Conn) { readHead(conn) })
	p := NewPool(testTimeouts)
	ctx, cancel := context.WithCancel(context.Background())
	c, err := p.Get(ctx, address, 2, false)
	assert.NilError(t, err)
	c.AbortOnDone(ctx)
	go cancel()
	_, err = c.Exchange(ctx, request(t, address), matchAny)
	var broken *ExchangeError
	assert.Assert(t, errors.As(err, &broken))
	assert.Assert(t, !broken.Reused)
	c.Discard()

	ctx, cancel = context.WithCancel(context.Background())
	kept, err := p.Get(ctx, address, 2, false)
	assert.NilError(t, err)
	kept.AbortOnDone(ctx)
	kept.Release(0)
	cancel()
	again, err := p.Get(context.Background(), address, 2, false)
	assert.NilError(t, err)
	assert.Equal(t, again, kept)
	_, err = again.Write([]byte("x"))
	assert.NilError(t, err)
}

// TestConnectFails: a failure to connect is a *ConnectError and leaves nothing in
// the pool.
func TestConnectFails(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	assert.NilError(t, l.Close())
	p := NewPool(testTimeouts)
	_, err = p.Get(context.Background(), address, 2, false)
	var failed *ConnectError
	assert.Assert(t, errors.As(err, &failed))
	assert.Equal(t, len(p.hosts), 0)
}

// TestDiscardResets: Discard resets the connection, so that the endpoint's next
// read fails and it can stop working on the request.
func TestDiscardResets(t *testing.T) {
	ended := make(chan error, 1)
	address := listen(t, func(conn net.Conn) {
		defer conn.Close()
		readHead(conn)
		_, err := conn.Read(make([]byte, 1))
		ended <- err
	})
	p := NewPool(testTimeouts)
	c, err := p.Get(context.Background(), address, 2, false)
	assert.NilError(t, err)
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\n\r\n")
	assert.NilError(t, err)
	c.Discard()
	err = <-ended
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
}
