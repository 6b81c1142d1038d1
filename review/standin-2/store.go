package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/standin/rowstore"
)

// platformStore is the platform's store, reached by each machine through a link of its own.
type platformStore struct {
	*rowstore.Store
	address string
	server  *http.Server
}

// end ends the listener at the store's first address.
func (s *platformStore) end() { _ = s.server.Close() }

// startStore starts the store.
func (w *world) startStore() (*platformStore, error) {
	s := &platformStore{Store: rowstore.New()}
	listener, err := net.Listen("tcp", w.ip(0, 0)+":0")
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	s.server = &http.Server{Handler: s.Store}
	go func() { _ = s.server.Serve(listener) }()
	w.onClose(s.end)
	return s, nil
}

// putJSON writes a row.
func (s *platformStore) putJSON(table, key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.Put(table, key, data)
	return nil
}

// link is the network path from one machine to an address. Its open connections can fall
// silent for good, while new ones work.
type link struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	pipes map[*pipe]struct{}
	// request is a text in a request whose answer watched waits for; empty for none.
	request string
	watched chan struct{}
}

// pipe is one connection over a link.
type pipe struct {
	link     *link
	from, to net.Conn
	silent   atomic.Bool
	// asked is true while the request that its link watches for waits for its answer.
	asked atomic.Bool
}

func (w *world) startLink(ip, to string) (*link, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, to: to, pipes: make(map[*pipe]struct{})}
	w.onClose(func() { _ = listener.Close() })
	go l.accept()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) accept() {
	for {
		from, err := l.listener.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", l.to)
		if err != nil {
			_ = from.Close()
			continue
		}
		p := &pipe{link: l, from: from, to: to}
		l.mu.Lock()
		l.pipes[p] = struct{}{}
		l.mu.Unlock()
		go func() {
			var ends sync.WaitGroup
			ends.Go(func() { p.copy(to, from, p.observeRequest) })
			ends.Go(func() { p.copy(from, to, p.observeAnswer) })
			ends.Wait()
			l.mu.Lock()
			delete(l.pipes, p)
			l.mu.Unlock()
		}()
	}
}

// copy forwards bytes until one side closes. A silent pipe passes nothing on, not even the
// end of the connection.
func (p *pipe) copy(to, from net.Conn, observe func([]byte)) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if p.silent.Load() {
			if err != nil {
				_ = from.Close()
				return
			}
			continue
		}
		if n > 0 {
			if _, failure := to.Write(buffer[:n]); failure != nil {
				err = failure
			}
			observe(buffer[:n])
		}
		if err != nil {
			if err != io.EOF {
				_ = from.Close()
			}
			_ = to.Close()
			return
		}
	}
}

// awaitAnswer waits until a request that contains a text has been answered over the link. It
// returns false if there is none within a time.
func (l *link) awaitAnswer(text string, within time.Duration) bool {
	watched := make(chan struct{}, 1)
	l.mu.Lock()
	l.request, l.watched = text, watched
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.request = ""
	}()
	select {
	case <-watched:
		return true
	case <-time.After(within):
		return false
	}
}

func (p *pipe) observeRequest(data []byte) {
	p.link.mu.Lock()
	defer p.link.mu.Unlock()
	if p.link.request != "" && bytes.Contains(data, []byte(p.link.request)) {
		p.asked.Store(true)
	}
}

func (p *pipe) observeAnswer([]byte) {
	if !p.asked.Swap(false) {
		return
	}
	p.link.mu.Lock()
	defer p.link.mu.Unlock()
	select {
	case p.link.watched <- struct{}{}:
	default:
	}
}

// silence makes the connections that are open now fall silent for good. It returns their
// number.
func (l *link) silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pipes {
		p.silent.Store(true)
	}
	return len(l.pipes)
}
