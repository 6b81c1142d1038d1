package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// trouble is what a proxy does to its connections.
type trouble int

const (
	calm trouble = iota
	// delayed passes everything on late.
	delayed
	// silent passes nothing on, on open connections and new ones.
	silent
	// oneWay passes nothing back.
	oneWay
)

// proxy passes connections on to a server and harms them. It is safe for
// concurrent use.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	state trouble
	conns map[net.Conn]bool
}

// delayTime is how late a delayed connection is.
const delayTime = 80 * time.Millisecond

func newProxy(address, target string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
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
		go p.pass(server, conn, false)
		go p.pass(conn, server, true)
	}
}

// pass copies from one connection to the other.
func (p *proxy) pass(to, from net.Conn, back bool) {
	defer p.drop(to, from)
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && p.let(back) {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err == io.EOF && p.now() == calm {
			return
		}
		if err != nil {
			return
		}
	}
}

// let waits or says that bytes are lost, as the trouble is.
func (p *proxy) let(back bool) bool {
	switch p.now() {
	case delayed:
		time.Sleep(delayTime)
	case silent:
		return false
	case oneWay:
		return !back
	}
	return true
}

func (p *proxy) now() trouble {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state
}

func (p *proxy) set(state trouble) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.state
	p.state = state
	if state == calm && (before == silent || before == oneWay) {
		// What was lost cannot be made good: such connections end.
		p.closeAll()
	}
}

// reset breaks all connections off.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeAll()
}

// closeAll resets the connections. The caller holds the lock.
func (p *proxy) closeAll() {
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		conn.Close()
	}
	clear(p.conns)
}

func (p *proxy) drop(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		conn.Close()
		delete(p.conns, conn)
	}
}
