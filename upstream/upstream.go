// Package upstream pools HTTP/1.1 connections to endpoints. Each connection
// carries one request at a time. The type of an error shows whether the endpoint
// may have received the request. Unlike net/http, the package never sends a
// request twice on its own.
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
	// readBufferBytes is enough for a response's headers and a few events of a
	// stream.
	readBufferBytes = 2 << 10
	// maxIdleTime is the maximum time that a connection stays in the pool. It also
	// applies if the endpoint does not announce its idle timeout.
	maxIdleTime = 4 * time.Second
	// idleMargin is the time by which an idle connection is closed before the
	// endpoint's idle timeout, so that no request is sent to a closing connection.
	idleMargin = time.Second
	// maxIdlePerHost bounds the idle connections to one endpoint.
	maxIdlePerHost = 8
	// sweepInterval is the time between two sweeps for expired idle connections.
	sweepInterval = time.Second
)

// Timeouts holds a pool's timeouts.
type Timeouts struct {
	// Connect bounds the opening of a connection.
	Connect time.Duration
	// Ack is the time after which a connection fails if sent data is not
	// acknowledged.
	Ack time.Duration
}

// noLimit is the value of Pool.maxOpen for a pool without a limit.
const noLimit = 0

// ConnectError reports that no connection could be opened. The endpoint has not
// received the request.
type ConnectError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *ConnectError) Error() string { return "connect to " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ConnectError) Unwrap() error { return e.Cause }

// ConnectionLimitError reports that the limit of connections to an endpoint is
// reached.
type ConnectionLimitError struct{ Address string }

// Error implements error.
func (e *ConnectionLimitError) Error() string { return "no free connection to " + e.Address }

// ExchangeError reports a failure of a connection after the endpoint may have
// received the request.
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

// Pool is a pool of connections by address. It is safe for concurrent use.
type Pool struct {
	timeouts Timeouts
	dialer   net.Dialer

	// maxOpen is the limit of all connections; noLimit if there is none.
	maxOpen int

	mu    sync.Mutex
	hosts map[string]*hostConns
	// open is the number of all connections.
	open int
}

// hostConns holds the connections to one address.
type hostConns struct {
	// open is the number of connections, idle ones included.
	open int
	// idle holds the idle connections, the one used last at the end.
	idle []*Conn
}

// NewPool returns an empty pool.
func NewPool(timeouts Timeouts) *Pool {
	p := &Pool{timeouts: timeouts, hosts: make(map[string]*hostConns)}
	p.dialer = net.Dialer{Timeout: timeouts.Connect, Control: p.control, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: timeouts.Ack / 2, Interval: timeouts.Ack / 4, Count: 2,
	}}
	return p
}

// SetMaxConnections sets the limit of connections to all endpoints together. It must be
// called before the first Get.
func (p *Pool) SetMaxConnections(n int) { p.maxOpen = n }

// control sets TCP_USER_TIMEOUT, so that the kernel closes a connection whose
// peer does not acknowledge data within the Ack timeout.
func (p *Pool) control(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(p.timeouts.Ack.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}

// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT.
const tcpUserTimeout = 0x12

// Conn is a connection to an endpoint. It must not be used by several goroutines
// at once.
type Conn struct {
	net.Conn
	pool    *Pool
	address string
	head    *headReader
	reader  *bufio.Reader
	// requests is the number of requests that the connection has carried.
	requests int
	// expires is the time after which an idle connection must not be reused.
	expires time.Time
	// cancelAbort cancels AbortOnDone. It returns false if the abort has begun.
	cancelAbort func() bool
}

// Get returns a connection to address. Unless fresh is set, it reuses an idle
// connection if there is one. limit bounds the connections to address; zero means
// no limit. Errors are *ConnectError and *ConnectionLimitError.
func (p *Pool) Get(ctx context.Context, address string, limit int, fresh bool) (*Conn, error) {
	if c := p.popUsableIdle(address, fresh); c != nil {
		return c, nil
	}
	if !p.reserve(address, limit) {
		return nil, &ConnectionLimitError{Address: address}
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.unreserve(address)
		return nil, &ConnectError{Address: address, Cause: err}
	}
	head := &headReader{conn: raw}
	return &Conn{Conn: raw, pool: p, address: address, head: head, reader: bufio.NewReaderSize(head, readBufferBytes)}, nil
}

// popUsableIdle removes and returns the most recently used idle connection that has
// neither expired nor received anything. It discards those used after it, and
// returns nil if there is none or fresh is set.
func (p *Pool) popUsableIdle(address string, fresh bool) *Conn {
	for !fresh {
		c := p.popIdle(address)
		if c == nil || (time.Now().Before(c.expires) && c.noInput()) {
			return c
		}
		c.Discard()
	}
	return nil
}

// popIdle removes and returns the most recently used idle connection.
func (p *Pool) popIdle(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	if h == nil || len(h.idle) == 0 {
		return nil
	}
	c := h.idle[len(h.idle)-1]
	h.idle = h.idle[:len(h.idle)-1]
	return c
}

// reserve counts one more connection to address. At the limit it closes an idle
// connection to make room, or returns false if there is none.
func (p *Pool) reserve(address string, limit int) bool {
	p.mu.Lock()
	h := p.hosts[address]
	if h == nil {
		h = &hostConns{}
		p.hosts[address] = h
	}
	var oldest *Conn
	if limit > 0 && h.open >= limit {
		if len(h.idle) == 0 {
			p.mu.Unlock()
			return false
		}
		oldest, h.idle = h.idle[0], h.idle[1:]
	} else if p.maxOpen != noLimit && p.open >= p.maxOpen {
		if oldest = p.popAnyIdle(); oldest == nil {
			if h.open == 0 {
				delete(p.hosts, address)
			}
			p.mu.Unlock()
			return false
		}
	}
	h.open++
	p.open++
	p.mu.Unlock()
	if oldest != nil {
		oldest.Discard()
	}
	return true
}

// popAnyIdle removes and returns the longest idle connection of any endpoint; nil if there
// is none. The caller holds the lock.
func (p *Pool) popAnyIdle() *Conn {
	var from *hostConns
	for _, h := range p.hosts {
		if len(h.idle) > 0 && (from == nil || h.idle[0].expires.Before(from.idle[0].expires)) {
			from = h
		}
	}
	if from == nil {
		return nil
	}
	c := from.idle[0]
	from.idle = from.idle[1:]
	return c
}

// unreserve decrements the number of connections to address.
func (p *Pool) unreserve(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	h.open--
	p.open--
	if h.open == 0 {
		delete(p.hosts, address)
	}
}

// noInput reports whether nothing has arrived on an idle connection: neither a
// close by the endpoint nor data that belongs to no request.
func (c *Conn) noInput() bool {
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
	none := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, errno := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		none = errno == syscall.EAGAIN
		return true
	})
	return err == nil && none
}

// Discard closes the connection with a TCP reset.
func (c *Conn) Discard() {
	c.stopAbort()
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// With a reset the kernel also drops unsent data: an aborted request must
		// not reach the endpoint later. If this fails, a normal close is enough.
		_ = tcp.SetLinger(0)
	}
	// The rest of the response is not needed, so errors don't matter.
	_ = c.Close()
	c.pool.unreserve(c.address)
}

// Release returns the connection to the pool. idle is the endpoint's idle
// timeout; zero means unknown.
func (c *Conn) Release(idle time.Duration) {
	keep := maxIdleTime
	if idle > 0 {
		keep = min(keep, idle-idleMargin)
	}
	if !c.stopAbort() || keep <= 0 || c.reader.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		c.Discard()
		return
	}
	c.expires = time.Now().Add(keep)
	if !c.pool.pushIdle(c) {
		c.Discard()
	}
}

// pushIdle adds an idle connection. It returns false if there are enough.
func (p *Pool) pushIdle(c *Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[c.address]
	if len(h.idle) >= maxIdlePerHost {
		return false
	}
	h.idle = append(h.idle, c)
	return true
}

// Run closes expired idle connections until the context ends.
func (p *Pool) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
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

// sweep closes the idle connections that have expired.
func (p *Pool) sweep(now time.Time) {
	p.mu.Lock()
	var expired []*Conn
	for _, h := range p.hosts {
		kept := h.idle[:0]
		for _, c := range h.idle {
			if now.Before(c.expires) {
				kept = append(kept, c)
				continue
			}
			expired = append(expired, c)
		}
		clear(h.idle[len(kept):])
		h.idle = kept
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.Discard()
	}
}

// CloseIdle closes the idle connections to address.
func (p *Pool) CloseIdle(address string) {
	for c := p.popIdle(address); c != nil; c = p.popIdle(address) {
		c.Discard()
	}
}

// Reused reports whether the connection has carried a request before.
func (c *Conn) Reused() bool { return c.requests > 0 }

// Exchange sends a request and reads the headers of its response. It skips
// responses for which matches returns false, which are responses to earlier
// requests. The end of the context aborts it only after AbortOnDone. The caller
// must read the body and then call Release or Discard. The error is an
// *ExchangeError; the endpoint may have received the request.
func (c *Conn) Exchange(ctx context.Context, req *http.Request, matches func(*http.Response) bool) (*http.Response, error) {
	reused := c.Reused()
	c.requests++
	if err := c.send(req); err != nil {
		return nil, &ExchangeError{Address: c.address, Reused: reused, Cause: err}
	}
	for range maxStale {
		c.head.limitHead()
		resp, err := http.ReadResponse(c.reader, req)
		c.head.unlimited()
		if err != nil {
			return nil, &ExchangeError{Address: c.address, Reused: reused, Cause: err}
		}
		if err := CheckStatus(resp.StatusCode); err != nil {
			return nil, &ExchangeError{Address: c.address, Reused: reused, Cause: err}
		}
		if resp.StatusCode >= http.StatusOK && matches(resp) {
			return resp, nil
		}
		if err := SkipBody(resp); err != nil {
			return nil, &ExchangeError{Address: c.address, Reused: reused, Cause: err}
		}
	}
	return nil, &ExchangeError{Address: c.address, Reused: reused, Cause: errors.WithStack(errStale)}
}

// AbortOnDone makes reads and writes on the connection fail once the context
// ends. Release and Discard cancel it.
func (c *Conn) AbortOnDone(ctx context.Context) {
	c.cancelAbort = context.AfterFunc(ctx, func() {
		// This fails only if the connection is already closed.
		_ = c.SetDeadline(time.Unix(1, 0))
	})
}

// stopAbort cancels AbortOnDone. It returns false if the context has ended.
func (c *Conn) stopAbort() bool {
	if c.cancelAbort == nil {
		return true
	}
	ok := c.cancelAbort()
	c.cancelAbort = nil
	return ok
}
