// Package connlimit bounds the connections of an HTTP server and the memory that unfinished
// requests take. At the limit of connections, the one that has waited for the end of a
// request's head for the longest time, idle or not, is closed for a new one; those that never
// carried a request come first. Heads are
// limited while they arrive: net/http has a limit of its own, but it cannot change while
// the server runs, and it holds for each connection and not for all together.
package connlimit

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/membudget"
)

const (
	// freeBytes is the part of a head that is not reserved. It fits into the buffers that
	// each connection has anyway; ConnectionBytes includes them.
	freeBytes = 4 << 10
	// bytesPerByte is the memory for a byte of a head or body that net/http and a handler
	// keep: buffers grow by copying, and headers are parsed into strings.
	bytesPerByte = 3
	// headSlack is what a connection may read beyond the limit of a head: the buffer of
	// net/http may hold the beginning of the body too.
	headSlack = 4 << 10
	// ConnectionBytes is the memory of an open connection: stacks, and the buffers of
	// net/http for reading and writing.
	ConnectionBytes = 20 << 10
	// newTime is how long a connection without a request counts as new: its first packets
	// may have been lost and sent again.
	newTime = time.Second
	// callerShare is the share of the connections that one caller may have. It suffices if
	// all callers share one address.
	callerShare = 0.75
	// reclaimTime is how long a new connection waits for the end of another one. It exceeds
	// the time after which requests without progress end, so that they all do. A caller that
	// has its share waits for shareReclaimTime, and only if a request is just being ended.
	// reclaimPoll is the time between two checks.
	reclaimTime      = membudget.DefaultPressureStall + 100*time.Millisecond
	shareReclaimTime = 50 * time.Millisecond
	reclaimPoll      = 5 * time.Millisecond
	// refusalTime limits the writing of a refusal to a caller that does not read.
	refusalTime = 100 * time.Millisecond
)

// Answers to requests that are refused before their head is complete. They have not run.
const (
	headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	memoryFull   = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

// Config configures a Listener.
type Config struct {
	// MaxConnections is the limit of open connections.
	MaxConnections int
	// MaxHeadBytes returns the limit of a request's head.
	MaxHeadBytes func() int
	// Memory is the budget for heads.
	Memory *membudget.Budget
	// CountBodies is true if the bodies of requests are reserved like heads. Otherwise the
	// handler reserves memory for them.
	CountBodies bool
	// EvictActive is true if connections with a request in its handler may be closed for new
	// ones. Otherwise only those are that wait for the end of a head.
	EvictActive bool
	// OnRefusal is called for each connection that is closed because of a limit.
	OnRefusal func(cause string)
}

// Causes of refusals.
const (
	CauseEvicted     = "evicted"
	CauseConnections = "connections"
	CauseHeadSize    = "head-size"
	CauseMemory      = "memory"
	CauseStalled     = "stalled"
)

// Listener is a net.Listener with a limit of connections. Server connects it to an
// http.Server, which has to serve it.
type Listener struct {
	net.Listener
	cfg Config

	mu sync.Mutex
	// open is the number of open connections, byCaller that of each caller that has any.
	open     int
	byCaller map[netip.Addr]int
	// unused and used are the connections that wait for the end of their first head and of a
	// later one, ordered by the time since which they do.
	unused, used connList
}

// Listen wraps a listener and sets the hooks of the server that is to serve it.
func Listen(inner net.Listener, server *http.Server, cfg Config) *Listener {
	l := &Listener{Listener: inner, cfg: cfg, byCaller: make(map[netip.Addr]int)}
	server.ConnState = l.connState
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, contextKey{}, c)
	}
	return l
}

// Limiter returns a function that limits a listener for other processes or operators, whose
// requests are small.
func Limiter(name string, maxConnections, maxHeadBytes int, memory *membudget.Budget, warn Warn) func(net.Listener, *http.Server) net.Listener {
	return func(inner net.Listener, server *http.Server) net.Listener {
		return Listen(inner, server, Config{
			MaxConnections: maxConnections, MaxHeadBytes: func() int { return maxHeadBytes }, Memory: memory, CountBodies: true, EvictActive: true,
			OnRefusal: NewReporter(name, warn).Refused,
		})
	}
}

// WithoutBodies refuses requests with a body. After a handler that does not read the body,
// net/http would wait for it, and the connection would stay open meanwhile.
func WithoutBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		LeaveBody(w, 0)
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	})
}

// LeaveBody closes the connection of a request whose body is not read, unless the rest of the
// body arrives within a time.
func LeaveBody(w http.ResponseWriter, within time.Duration) {
	// This fails only if the connection is closed.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(within))
}

type contextKey struct{}

// Caller returns the address of the caller of a request that a Listener accepted.
func Caller(ctx context.Context) netip.Addr {
	if c, ok := ctx.Value(contextKey{}).(*Conn); ok {
		return c.caller
	}
	return netip.Addr{}
}

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: raw, listener: l}
		if tcp, ok := raw.RemoteAddr().(*net.TCPAddr); ok {
			c.caller = tcp.AddrPort().Addr()
		}
		if l.admit(c.caller) {
			l.mu.Lock()
			l.list(c)
			l.mu.Unlock()
			return c, nil
		}
		l.refused(CauseConnections)
		// The caller has sent nothing that could be answered yet.
		_ = raw.Close()
	}
}

func (l *Listener) refused(cause string) {
	if l.cfg.OnRefusal != nil {
		l.cfg.OnRefusal(cause)
	}
}

// admit counts a new connection of a caller, and closes another one at the limit. It returns
// false if none can be closed in time.
func (l *Listener) admit(caller netip.Addr) bool {
	if l.tryAdmit(caller) {
		return true
	}
	began := time.Now()
	for revoked := false; ; {
		revoked = l.cfg.Memory.RevokeOldest() || revoked
		limit := reclaimTime
		if l.mustYield(caller) {
			// Connections of other callers must not wait for this one, unless its turn is
			// near: the handlers of revoked requests answer them at once.
			limit = 0
			if revoked {
				limit = shareReclaimTime
			}
		}
		if time.Since(began) >= limit {
			return false
		}
		time.Sleep(reclaimPoll)
		if l.tryAdmit(caller) {
			return true
		}
	}
}

// mustYield reports whether a caller has its share of connections while there are others.
func (l *Listener) mustYield(caller netip.Addr) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.byCaller) > 1 && l.hasShare(caller)
}

// hasShare reports whether a caller has all connections that it may have. The caller of the
// method holds the lock.
func (l *Listener) hasShare(caller netip.Addr) bool {
	return float64(l.byCaller[caller]) >= callerShare*float64(l.cfg.MaxConnections)
}

func (l *Listener) tryAdmit(caller netip.Addr) bool {
	l.mu.Lock()
	over := l.hasShare(caller)
	if l.open < l.cfg.MaxConnections && !over {
		l.countOpen(caller, 1)
		l.mu.Unlock()
		return true
	}
	victim := l.victim(caller, over)
	if victim == nil {
		l.mu.Unlock()
		return false
	}
	l.unlist(victim)
	// The server closes the connection too, after its read has failed.
	victim.uncount()
	l.countOpen(caller, 1)
	l.mu.Unlock()
	l.refused(CauseEvicted)
	// An error means that the caller has closed the connection.
	_ = victim.Conn.Close()
	return true
}

// countOpen adds n to the number of open connections of a caller. The caller of the method
// holds the lock.
func (l *Listener) countOpen(caller netip.Addr, n int) {
	l.open += n
	if l.byCaller[caller] += n; l.byCaller[caller] == 0 {
		delete(l.byCaller, caller)
	}
}

// connState is the hook of http.Server. The server reports a connection as active after it
// has read the head of a request, and as idle after it has answered the request.
func (l *Listener) connState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		if !l.cfg.EvictActive {
			l.mu.Lock()
			l.unlist(c)
			l.mu.Unlock()
		}
		if memory := c.memory.Load(); memory != nil {
			memory.SetRevocable(nil)
		}
		c.inHandler.Store(true)
	case http.StateIdle:
		c.inHandler.Store(false)
		c.requestBytes = 0
		c.releaseMemory()
		l.mu.Lock()
		l.unlist(c)
		c.hadRequest = true
		if !c.closed && !c.uncounted {
			l.list(c)
		}
		l.mu.Unlock()
	}
}

// victim returns the connection to close for a new one of a caller; nil if there is none. With
// own it is one of the same caller. The caller of the method holds the lock. Connections
// without any complete request come first, since callers within the limits send one at once,
// but not those that are so new that their request may be on its way.
func (l *Listener) victim(caller netip.Addr, own bool) *Conn {
	unused, used := l.unused.oldest, l.used.oldest
	if own {
		unused, used = unused.orNewer(caller), used.orNewer(caller)
	}
	if unused != nil && (used == nil || time.Since(unused.waitingSince) >= newTime) {
		return unused
	}
	return used
}

// orNewer returns the connection, or the next newer one in its list that is of a caller.
func (c *Conn) orNewer(caller netip.Addr) *Conn {
	for c != nil && c.caller != caller {
		c = c.newer
	}
	return c
}

// list adds a connection that begins to wait for a head. The caller holds the lock.
func (l *Listener) list(c *Conn) {
	c.waitingSince = time.Now()
	if c.hadRequest {
		l.used.add(c)
	} else {
		l.unused.add(c)
	}
}

// unlist removes a connection from its list. The caller holds the lock.
func (l *Listener) unlist(c *Conn) {
	if c.in != nil {
		c.in.remove(c)
	}
}

// connList is a list of connections, ordered by the time at which they were added.
type connList struct{ oldest, newest *Conn }

func (l *connList) add(c *Conn) {
	c.in, c.older, c.newer = l, l.newest, nil
	if l.newest == nil {
		l.oldest = c
	} else {
		l.newest.newer = c
	}
	l.newest = c
}

func (l *connList) remove(c *Conn) {
	if c.older == nil {
		l.oldest = c.newer
	} else {
		c.older.newer = c.newer
	}
	if c.newer == nil {
		l.newest = c.older
	} else {
		c.newer.older = c.older
	}
	c.in, c.older, c.newer = nil, nil, nil
}

// Conn is a connection that a Listener has accepted.
type Conn struct {
	net.Conn
	listener *Listener
	caller   netip.Addr

	// inHandler is true while a request is handled.
	inHandler atomic.Bool
	// requestBytes are the bytes of the current request that count towards the limits. Only
	// the goroutine that reads uses it.
	requestBytes int
	// memory is what is reserved for them; nil for a request of up to freeBytes.
	memory atomic.Pointer[membudget.Reservation]

	// The fields below are guarded by the lock of the listener. uncounted is true if the
	// connection no longer counts as open.
	closed, uncounted bool
	// hadRequest is true if the connection has carried a complete request.
	hadRequest bool
	// waitingSince is the time since which the connection waits for the end of a head. in is
	// the list that holds it; nil if none does.
	waitingSince time.Time
	in           *connList
	older, newer *Conn
}

// uncount counts a connection as closed. The caller holds the lock of the listener.
func (c *Conn) uncount() {
	if !c.uncounted {
		c.uncounted = true
		c.listener.countOpen(c.caller, -1)
	}
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	inHandler := c.inHandler.Load()
	if n == 0 || (inHandler && !c.listener.cfg.CountBodies) {
		return n, err
	}
	c.requestBytes += n
	if c.requestBytes <= freeBytes {
		return n, err
	}
	if refusal := c.count(n, inHandler); refusal != nil {
		return 0, refusal
	}
	return n, err
}

// count applies the limits to n more bytes of a request. It returns an error, after which
// the server closes the connection, if the request is refused.
func (c *Conn) count(n int, inHandler bool) error {
	cfg := &c.listener.cfg
	if !inHandler && c.requestBytes > cfg.MaxHeadBytes()+headSlack {
		return c.refuse(CauseHeadSize, headTooLarge, inHandler)
	}
	memory := c.memory.Load()
	if memory == nil {
		memory = cfg.Memory.Open(c.caller)
		if !inHandler {
			memory.SetRevocable(c.revoke)
		}
		c.memory.Store(memory)
	}
	memory.Progress(n)
	if memory.Grow(context.Background(), int64(bytesPerByte*n)) != nil {
		return c.refuse(CauseMemory, memoryFull, inHandler)
	}
	c.listener.mu.Lock()
	closed := c.closed
	c.listener.mu.Unlock()
	if closed {
		c.releaseMemory()
	}
	return nil
}

// revoke ends a head that makes no progress.
func (c *Conn) revoke() {
	c.listener.refused(CauseStalled)
	// An error means that the caller has closed the connection.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// refuse answers a request whose head is not complete. While a handler runs, which sends the
// answer, it only ends the reading.
func (c *Conn) refuse(cause, answer string, inHandler bool) error {
	c.listener.refused(cause)
	if !inHandler && c.Conn.SetWriteDeadline(time.Now().Add(refusalTime)) == nil {
		// A caller that does not read gets no answer.
		_, _ = io.WriteString(c.Conn, answer)
	}
	return io.EOF
}

// CloseWrite closes the writing side. The server uses it to deliver its last answer.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	l := c.listener
	l.mu.Lock()
	c.closed = true
	l.unlist(c)
	c.uncount()
	l.mu.Unlock()
	c.releaseMemory()
	return err
}

// releaseMemory returns the memory of the current request.
func (c *Conn) releaseMemory() {
	if memory := c.memory.Swap(nil); memory != nil {
		memory.Release()
	}
}
