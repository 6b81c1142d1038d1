// Package upstream keeps the connections to endpoints and carries one request
// and its answer at a time over each. It knows for every failure whether the
// endpoint can have got the request, and never sends one twice by itself.
package upstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// readBuffer holds an answer's head and a few events of a stream.
	readBuffer = 2 << 10
	// keepIdle is how long a connection stays open without a request when the
	// endpoint names no time of its own.
	keepIdle = 4 * time.Second
	// idleMargin is how long before the endpoint's own time-out a connection is
	// given up.
	idleMargin = time.Second
	// maxIdle bounds the idle connections to one endpoint.
	maxIdle = 8
	// sweepPeriod is the time between two looks for idle connections to close.
	sweepPeriod = time.Second
)

// Timeouts bounds a pool's waits.
type Timeouts struct {
	// Connect bounds the opening of a connection.
	Connect time.Duration
	// Ack is how long sent bytes may stay without an acknowledgement before
	// the connection counts as broken.
	Ack time.Duration
}

// ConnectError says that no connection came about: the endpoint did not get the
// request.
type ConnectError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *ConnectError) Error() string { return "connect to " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ConnectError) Unwrap() error { return e.Cause }

// ConnectionLimitError says that the endpoint has as many connections as it may have.
type ConnectionLimitError struct{ Address string }

// Error implements error.
func (e *ConnectionLimitError) Error() string { return "no free connection to " + e.Address }

// ExchangeError says that a connection failed after the endpoint may have got
// the request.
type ExchangeError struct {
	Address string
	// Reused is true if the connection had carried a request before.
	Reused bool
	Cause  error
}

// Error implements error.
func (e *ExchangeError) Error() string { return "exchange with " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ExchangeError) Unwrap() error { return e.Cause }

// Pool keeps connections by address. It is safe for concurrent use.
type Pool struct {
	timing Timeouts
	dialer net.Dialer

	mu   sync.Mutex
	host map[string]*host
}

// host is what a pool holds of one address.
type host struct {
	open int
	idle []*Conn
}

// NewPool returns an empty pool.
func NewPool(timing Timeouts) *Pool {
	p := &Pool{timing: timing, host: make(map[string]*host)}
	p.dialer = net.Dialer{Timeout: timing.Connect, Control: p.control, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: timing.Ack / 2, Interval: timing.Ack / 4, Count: 2,
	}}
	return p
}

// control makes the kernel report a peer that acknowledges nothing.
func (p *Pool) control(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(p.timing.Ack.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}

// tcpUserTimeout is TCP_USER_TIMEOUT of the Linux socket API.
const tcpUserTimeout = 0x12

// Conn is a connection to an endpoint. It belongs to one goroutine at a time.
type Conn struct {
	net.Conn
	pool    *Pool
	address string
	reader  *bufio.Reader
	// served counts the requests that it carried.
	served  int
	expires time.Time
	// unbind takes back what AbortOnDone set up; it returns false if the
	// connection is being broken off.
	unbind func() bool
}

// Get returns a connection to the address, an idle one if fresh is false and
// there is one. limit bounds the connections to the address; zero sets no
// bound. Errors are *ConnectError and *ConnectionLimitError.
func (p *Pool) Get(ctx context.Context, address string, limit int, fresh bool) (*Conn, error) {
	if c := p.takeIdle(address, fresh); c != nil {
		return c, nil
	}
	if !p.reserve(address, limit) {
		return nil, &ConnectionLimitError{Address: address}
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.release(address)
		return nil, &ConnectError{Address: address, Cause: err}
	}
	return &Conn{Conn: raw, pool: p, address: address, reader: bufio.NewReaderSize(raw, readBuffer)}, nil
}

// takeIdle returns the idle connection that was used last and is sound.
func (p *Pool) takeIdle(address string, fresh bool) *Conn {
	for !fresh {
		c := p.popIdle(address)
		if c == nil || (time.Now().Before(c.expires) && c.quiet()) {
			return c
		}
		c.Discard()
	}
	return nil
}

func (p *Pool) popIdle(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.host[address]
	if h == nil || len(h.idle) == 0 {
		return nil
	}
	c := h.idle[len(h.idle)-1]
	h.idle = h.idle[:len(h.idle)-1]
	return c
}

// reserve counts one more connection, closing an idle one if there are as many
// as may be.
func (p *Pool) reserve(address string, limit int) bool {
	p.mu.Lock()
	h := p.host[address]
	if h == nil {
		h = &host{}
		p.host[address] = h
	}
	var oldest *Conn
	if limit > 0 && h.open >= limit {
		if len(h.idle) == 0 {
			p.mu.Unlock()
			return false
		}
		oldest, h.idle = h.idle[0], h.idle[1:]
	}
	h.open++
	p.mu.Unlock()
	if oldest != nil {
		oldest.Discard()
	}
	return true
}

func (p *Pool) release(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.host[address]
	h.open--
	if h.open == 0 {
		delete(p.host, address)
	}
}

// quiet reports whether nothing has arrived on an idle connection, neither an
// end nor bytes that belong to no request.
func (c *Conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, errno := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errno == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// Discard closes the connection.
func (c *Conn) Discard() {
	c.bound()
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// A reset also ends what is still on its way to the endpoint: a request that
		// was given up must not reach it later. On failure the close is enough.
		_ = tcp.SetLinger(0)
	}
	// What the endpoint still had to say is of no use.
	_ = c.Close()
	c.pool.release(c.address)
}

// Release gives the connection back for another request; idle is how long the
// endpoint keeps it open, zero for unknown.
func (c *Conn) Release(idle time.Duration) {
	keep := keepIdle
	if idle > 0 {
		keep = min(keep, idle-idleMargin)
	}
	if !c.bound() || keep <= 0 || c.reader.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		c.Discard()
		return
	}
	c.expires = time.Now().Add(keep)
	if !c.pool.pushIdle(c) {
		c.Discard()
	}
}

func (p *Pool) pushIdle(c *Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.host[c.address]
	if len(h.idle) >= maxIdle {
		return false
	}
	h.idle = append(h.idle, c)
	return true
}

// Run closes connections that stayed idle, until the context ends.
func (p *Pool) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			p.sweep(now)
		case <-ctx.Done():
			return
		}
	}
}

func (p *Pool) sweep(now time.Time) {
	p.mu.Lock()
	var old []*Conn
	for _, h := range p.host {
		kept := h.idle[:0]
		for _, c := range h.idle {
			if now.Before(c.expires) {
				kept = append(kept, c)
				continue
			}
			old = append(old, c)
		}
		clear(h.idle[len(kept):])
		h.idle = kept
	}
	p.mu.Unlock()
	for _, c := range old {
		c.Discard()
	}
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	for c := p.popIdle(address); c != nil; c = p.popIdle(address) {
		c.Discard()
	}
}

// Exchange sends a request and reads the head of its answer, skipping answers
// that belong reports to be of other requests. When the context ends, the
// connection breaks off. The caller reads the body and then calls Release or
// Discard. The error is an *ExchangeError; the endpoint may have got the
// request.
func (c *Conn) Exchange(ctx context.Context, req *http.Request, belongs func(*http.Response) bool) (*http.Response, error) {
	reused := c.served > 0
	c.served++
	if err := c.send(req); err != nil {
		return nil, &ExchangeError{Address: c.address, Reused: reused, Cause: err}
	}
	for range maxForeign {
		resp, err := http.ReadResponse(c.reader, req)
		if err != nil {
			return nil, &ExchangeError{Address: c.address, Reused: reused, Cause: err}
		}
		if resp.StatusCode >= http.StatusOK && belongs(resp) {
			return resp, nil
		}
		if err := skip(resp); err != nil {
			return nil, &ExchangeError{Address: c.address, Reused: reused, Cause: err}
		}
	}
	return nil, &ExchangeError{Address: c.address, Reused: reused, Cause: errors.WithStack(errForeign)}
}

// AbortOnDone makes reads and writes of the connection fail once the context
// ends, until Release or Discard.
func (c *Conn) AbortOnDone(ctx context.Context) {
	c.unbind = context.AfterFunc(ctx, func() {
		// A connection that is closed already needs no deadline.
		_ = c.SetDeadline(time.Unix(1, 0))
	})
}

// bound takes AbortOnDone back; it reports false if the context has ended.
func (c *Conn) bound() bool {
	if c.unbind == nil {
		return true
	}
	ok := c.unbind()
	c.unbind = nil
	return ok
}
