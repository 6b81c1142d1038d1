package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// linkFault is a fault that a proxy injects into its connections, both open and
// new ones.
type linkFault int

const (
	noLinkFault linkFault = iota
	// delayAll forwards each chunk of data linkDelay after it was read.
	delayAll
	// dropAll drops the data in both directions.
	dropAll
	// dropAnswers drops the data from the server.
	dropAnswers
)

// linkDelay is the delay of each chunk of data while the fault is delayAll.
const linkDelay = 80 * time.Millisecond

// proxy forwards TCP connections to a server and can inject faults into them. It
// is safe for concurrent use.
type proxy struct {
	listener net.Listener
	// address is that of the listener, also while it is closed.
	address string
	target  string

	mu    sync.Mutex
	fault linkFault
	conns map[net.Conn]bool
}

// newProxy starts a proxy that listens at address and forwards to target.
func newProxy(address, target string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, address: l.Addr().String(), target: target, conns: make(map[net.Conn]bool)}
	go p.accept(l)
	return p, nil
}

func (p *proxy) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			conn.Close()
			continue
		}
		p.mu.Lock()
		p.conns[conn], p.conns[server] = true, true
		p.mu.Unlock()
		go p.forward(server, conn, false)
		go p.forward(conn, server, true)
	}
}

// forward copies data from one connection to the other, subject to the current
// fault, until either connection fails or is closed.
func (p *proxy) forward(to, from net.Conn, fromServer bool) {
	defer p.closeConns(to, from)
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && p.deliver(fromServer) {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err == io.EOF && p.currentFault() == noLinkFault {
			return
		}
		if err != nil {
			return
		}
	}
}

// deliver applies the current fault to data that was read: it waits if the data is
// to be delayed, and returns false if it is to be dropped.
func (p *proxy) deliver(fromServer bool) bool {
	switch p.currentFault() {
	case delayAll:
		time.Sleep(linkDelay)
	case dropAll:
		return false
	case dropAnswers:
		return !fromServer
	}
	return true
}

func (p *proxy) currentFault() linkFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *proxy) setFault(fault linkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.fault
	p.fault = fault
	if fault != before && (before == dropAll || before == dropAnswers) {
		// A connection that has lost data must not deliver what follows, also if another
		// fault follows at once: TCP has no such holes.
		p.resetAll()
	}
}

// crash resets all connections and refuses new ones for a time, as if the process behind it
// had crashed.
func (p *proxy) crash(downtime time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener.Close() != nil {
		// It has crashed already.
		return
	}
	p.resetAll()
	time.AfterFunc(downtime, p.listenAgain)
}

func (p *proxy) listenAgain() {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, err := net.Listen("tcp", p.listener.Addr().String())
	if err != nil {
		time.AfterFunc(listenRetryInterval, p.listenAgain)
		return
	}
	p.listener = l
	go p.accept(l)
}

// listenRetryInterval is the time between two attempts to listen at an address that is
// still in use.
const listenRetryInterval = 50 * time.Millisecond

// reset resets all connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetAll()
}

// resetAll resets all connections. The caller holds the lock.
func (p *proxy) resetAll() {
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		conn.Close()
	}
	clear(p.conns)
}

func (p *proxy) closeConns(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		conn.Close()
		delete(p.conns, conn)
	}
}
