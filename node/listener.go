// Package node assembles and runs the two kinds of process of the system: the
// entry node, and the agent that runs next to an endpoint.
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

// closeTimeout bounds how long a closing listener waits for calls in progress.
const closeTimeout = 5 * time.Second

// ListenError reports that a process cannot listen at an address.
type ListenError struct {
	Name    string
	Address string
	Cause   error
}

// Error names the listener, its address and the cause.
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

// Sockets holds listening sockets that were opened in advance, by address. The
// process opens the others itself.
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

// listen opens a listener and serves it in a goroutine.
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

// close stops the server. Calls that still run after closeTimeout are
// interrupted.
func (l *listener) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := l.server.Shutdown(ctx); err != nil {
		klog.Warningf("node: listener for %s closed with calls open: %s.", l.name, err)
		// Nothing else can be done if Close fails as well.
		_ = l.server.Close()
	}
}

// abort closes the socket and all connections at once.
func (l *listener) abort() {
	// The sockets are closed even if Close returns an error.
	_ = l.server.Close()
}

// servePlain serves without TLS and without a check of the peers' secret.
func servePlain(server *http.Server, socket net.Listener) error {
	err := server.Serve(socket)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve callers")
}

// listenSecured opens a listener that accepts only callers with the
// deployment's secret.
func (s Sockets) listenSecured(name, address string, security *peer.Security, handler http.Handler) (*listener, error) {
	return s.listen(name, address, security.NewServer(handler), security.Serve)
}
