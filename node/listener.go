// Package node assembles the processes of the system from their parts: the
// entry node and the agent beside an endpoint.
package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/cyclamenpoint/cyclamenpoint/peer"
)

// closeTimeout bounds how long a listener waits for its last calls.
const closeTimeout = 5 * time.Second

// ListenError tells that a process cannot listen at an address.
type ListenError struct {
	Name    string
	Address string
	Cause   error
}

// Error says which listener, where and why.
func (e *ListenError) Error() string {
	return "listen for " + e.Name + " at " + e.Address + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// listener is one server with its socket.
type listener struct {
	name   string
	server *http.Server
	socket net.Listener
	serve  func(*http.Server, net.Listener) error
}

// Sockets are sockets that were opened before the process started, by address.
// A process opens the others itself.
type Sockets map[string]net.Listener

func (s Sockets) open(name, address string) (net.Listener, error) {
	if socket, ok := s[address]; ok {
		return socket, nil
	}
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &ListenError{Name: name, Address: address, Cause: err}
	}
	return socket, nil
}

func (s Sockets) listen(name, address string, server *http.Server, serve func(*http.Server, net.Listener) error) (*listener, error) {
	socket, err := s.open(name, address)
	if err != nil {
		return nil, err
	}
	l := &listener{name: name, server: server, socket: socket, serve: serve}
	go l.run()
	return l, nil
}

func (l *listener) run() {
	klog.Infof("node: listening for %s at %s.", l.name, l.socket.Addr())
	if err := l.serve(l.server, l.socket); err != nil {
		klog.Errorf("node: listener for %s failed: %s.", l.name, err)
	}
}

// close stops the server; what still runs after closeTimeout is cut off.
func (l *listener) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := l.server.Shutdown(ctx); err != nil {
		klog.Warningf("node: listener for %s closed with calls open: %s.", l.name, err)
		// Shutdown has failed; nothing better is left.
		_ = l.server.Close()
	}
}

// abort breaks all connections off.
func (l *listener) abort() {
	// The sockets are gone whatever Close says.
	_ = l.server.Close()
}

// plain serves without the peers' security.
func plain(server *http.Server, socket net.Listener) error {
	err := server.Serve(socket)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve callers")
}

// guarded opens a listener that takes only peers with the secret.
func (s Sockets) guarded(name, address string, security *peer.Security, handler http.Handler) (*listener, error) {
	return s.listen(name, address, security.NewServer(handler), security.Serve)
}
