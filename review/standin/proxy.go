package main

import (
	"net"
	"sync"
	"sync/atomic"
)

// proxy forwards connections to the store.
type proxy struct {
	listener net.Listener
	target   string

	mu   sync.Mutex
	open []*link
}

// link is one connection. Once it is silent, nothing passes any more; both ends stay
// open.
type link struct{ silent atomic.Bool }

func startProxy(ip, target string) *proxy {
	p := &proxy{listener: listen(ip), target: target}
	go p.accept()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = conn.Close()
			continue
		}
		l := &link{}
		p.mu.Lock()
		p.open = append(p.open, l)
		p.mu.Unlock()
		go l.forward(conn, server)
		go l.forward(server, conn)
	}
}

func (l *link) forward(to, from net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if l.silent.Load() {
			if err != nil {
				_ = from.Close()
				return
			}
			continue
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// silence makes all open connections silent and returns their number.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.open {
		l.silent.Store(true)
	}
	n := len(p.open)
	p.open = nil
	return n
}
