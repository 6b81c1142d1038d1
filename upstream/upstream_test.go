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

var testTiming = Timeouts{Connect: 5 * time.Second, Ack: 5 * time.Second}

// listen serves each connection with serve.
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

// readHead reads a request without a body.
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

func anything(*http.Response) bool { return true }

// exchange sends one request and gives the connection back.
func exchange(t *testing.T, p *Pool, address string) *Conn {
	c, err := p.Get(context.Background(), address, 2, false)
	assert.NilError(t, err)
	resp, err := c.Exchange(context.Background(), request(t, address), anything)
	assert.NilError(t, err)
	_, err = io.ReadAll(resp.Body)
	assert.NilError(t, err)
	idle, ok := Reusable(resp)
	assert.Assert(t, ok)
	c.Release(idle)
	return c
}

// TestReuse: a sound connection is used again, one that the endpoint closed or
// that brought stray bytes is not.
func TestReuse(t *testing.T) {
	said := make(chan string)
	address := listen(t, func(conn net.Conn) {
		defer conn.Close()
		for readHead(conn) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			if text := <-said; text == "close" {
				return
			} else if text != "" {
				_, _ = io.WriteString(conn, text)
				said <- "done"
			}
		}
	})
	p := NewPool(testTiming)
	first := exchange(t, p, address)
	said <- ""
	assert.Equal(t, exchange(t, p, address), first)
	said <- "HTTP/1.1 200 OK\r\n\r\n"
	<-said
	for first.quiet() {
		time.Sleep(time.Millisecond)
	}
	second := exchange(t, p, address)
	assert.Assert(t, second != first, "stray bytes belong to no request")
	said <- "close"
	for second.quiet() {
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, exchange(t, p, address) != second)
	said <- ""
}

// TestLimit: no more connections than an endpoint accepts, idle ones make room.
func TestLimit(t *testing.T) {
	address := listen(t, func(net.Conn) {})
	p := NewPool(testTiming)
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
	assert.Assert(t, c != b, "a fresh one was asked for")
	a.Discard()
	c.Discard()
	assert.Equal(t, len(p.host), 0)
}

// TestCancelled: the end of the context breaks an exchange off; it does not harm
// a connection that was given back before.
func TestCancelled(t *testing.T) {
	address := listen(t, func(conn net.Conn) { readHead(conn) })
	p := NewPool(testTiming)
	ctx, cancel := context.WithCancel(context.Background())
	c, err := p.Get(ctx, address, 2, false)
	assert.NilError(t, err)
	c.AbortOnDone(ctx)
	go cancel()
	_, err = c.Exchange(ctx, request(t, address), anything)
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

// TestConnectFails: nobody got the request.
func TestConnectFails(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	assert.NilError(t, l.Close())
	p := NewPool(testTiming)
	_, err = p.Get(context.Background(), address, 2, false)
	var failed *ConnectError
	assert.Assert(t, errors.As(err, &failed))
	assert.Equal(t, len(p.host), 0)
}

// TestDiscardResets: a connection that is given up is reset, so that the endpoint
// learns at once that nobody waits, also where it only reads later.
func TestDiscardResets(t *testing.T) {
	ended := make(chan error, 1)
	address := listen(t, func(conn net.Conn) {
		defer conn.Close()
		readHead(conn)
		_, err := conn.Read(make([]byte, 1))
		ended <- err
	})
	p := NewPool(testTiming)
	c, err := p.Get(context.Background(), address, 2, false)
	assert.NilError(t, err)
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\n\r\n")
	assert.NilError(t, err)
	c.Discard()
	err = <-ended
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
}
