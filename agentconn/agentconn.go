// Package agentconn holds an entry node's connections to the agents. It replaces
// connections on which nothing arrives any more, so that new calls do not use a
// dead connection.
package agentconn

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	pb "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
	"github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1/cyclamenpointv1connect"
	"github.com/cyclamenpoint/cyclamenpoint/peer"
)

// Limits of a call to an agent.
const (
	// frameTimeout bounds the wait for the next frame. Agents send a heartbeat
	// each second while they have no other frame to send.
	frameTimeout  = 2500 * time.Millisecond
	revokeTimeout = time.Second
	// frameBuffer is the number of frames that are received ahead of the handler.
	frameBuffer = 64
	// maxProbeFailures is the number of consecutive failed probes after which
	// the next one uses a new connection.
	maxProbeFailures = 5
)

// Pool holds the connections to all agents. It is safe for concurrent use.
type Pool struct {
	security *peer.Security

	mu    sync.Mutex
	conns map[string]*connSet
}

// connSet is a set of connections to one agent.
type connSet struct {
	transport *peer.Transport
	client    cyclamenpointv1connect.AgentServiceClient
	// probeFailures is the number of consecutive failed probes.
	probeFailures atomic.Int32
}

// NewPool returns an empty pool.
func NewPool(security *peer.Security) *Pool {
	return &Pool{security: security, conns: make(map[string]*connSet)}
}

// get returns the connections to the agent at address.
func (p *Pool) get(address string) *connSet {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.conns[address]
	if c == nil {
		transport := p.security.Transport()
		c = &connSet{
			transport: transport,
			client:    cyclamenpointv1connect.NewAgentServiceClient(&http.Client{Transport: transport}, p.security.BaseURL(address)),
		}
		p.conns[address] = c
	}
	return c
}

// discard removes a set of connections, so that the next call dials a new one.
// Calls in progress continue on the old connections.
func (p *Pool) discard(address string, c *connSet) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[address] == c {
		delete(p.conns, address)
		c.transport.CloseIdleConnections()
	}
}

// Close closes idle connections. No call may be made after it.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.transport.CloseIdleConnections()
	}
}

// TimeoutError reports that an agent sent no frame within the timeout.
type TimeoutError struct {
	Address string
}

// Error names the agent's address.
func (e *TimeoutError) Error() string { return "agent " + e.Address + " has gone silent" }

// BrokenError reports that a call failed, or that its stream ended without the
// last frame.
type BrokenError struct {
	Address string
	Cause   error
}

// Error names the agent's address and the cause.
func (e *BrokenError) Error() string {
	return "the stream from agent " + e.Address + " broke: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// TruncatedError reports that a stream ended without its last frame.
type TruncatedError struct{}

// Error implements error.
func (e *TruncatedError) Error() string { return "it ended without its last frame" }

// FrameFunc handles one frame. It returns true for the last one. An error ends
// the call.
type FrameFunc func(*pb.ExecuteResponse) (last bool, err error)

// frame is a frame, or the error that ended the stream.
type frame struct {
	msg *pb.ExecuteResponse
	err error
}

// Execute runs one attempt at the agent at address and calls handle with its
// frames, in order and in the calling goroutine. It returns nil after the last
// frame, or the error of handle, a *TimeoutError or a *BrokenError. Frames of
// another attempt are dropped.
func (p *Pool) Execute(ctx context.Context, address string, req *pb.ExecuteRequest, handle FrameFunc) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := p.get(address)
	frames := make(chan frame, frameBuffer)
	go receive(ctx, c, req, frames)
	timer := time.NewTimer(frameTimeout)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return &BrokenError{Address: address, Cause: ctx.Err()}
		case <-timer.C:
			p.discard(address, c)
			return &TimeoutError{Address: address}
		case f := <-frames:
			if f.err != nil {
				p.discard(address, c)
				return &BrokenError{Address: address, Cause: f.err}
			}
			timer.Reset(frameTimeout)
			if !sameAttempt(f.msg.GetAttempt(), req.GetAttempt()) {
				continue
			}
			last, err := handle(f.msg)
			if last || err != nil {
				return err
			}
		}
	}
}

func sameAttempt(a, b *pb.AttemptId) bool {
	return a.GetRequestId() == b.GetRequestId() && a.GetNumber() == b.GetNumber()
}

// receive executes the call and sends its frames to the channel, and then the
// error that ended the stream.
func receive(ctx context.Context, c *connSet, req *pb.ExecuteRequest, frames chan<- frame) {
	send := func(f frame) bool {
		select {
		case frames <- f:
			return true
		case <-ctx.Done():
			return false
		}
	}
	stream, err := c.client.Execute(ctx, connect.NewRequest(req))
	if err != nil {
		send(frame{err: err})
		return
	}
	defer stream.Close()
	for stream.Receive() {
		if !send(frame{msg: stream.Msg()}) {
			return
		}
	}
	err = stream.Err()
	if err == nil {
		err = &TruncatedError{}
	}
	send(frame{err: err})
}

// Revoke revokes an attempt and returns its outcome. It uses a new connection,
// because that of the attempt may be dead.
func (p *Pool) Revoke(ctx context.Context, address string, req *pb.RevokeRequest) (*pb.RevokeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, revokeTimeout)
	defer cancel()
	transport := p.security.Transport()
	defer transport.CloseIdleConnections()
	client := cyclamenpointv1connect.NewAgentServiceClient(&http.Client{Transport: transport}, p.security.BaseURL(address))
	resp, err := client.Revoke(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, &BrokenError{Address: address, Cause: err}
	}
	return resp.Msg, nil
}

// Probe returns an agent's load. ctx bounds the wait.
func (p *Pool) Probe(ctx context.Context, address string, req *pb.ProbeRequest) (*pb.ProbeResponse, error) {
	c := p.get(address)
	resp, err := c.client.Probe(ctx, connect.NewRequest(req))
	if err == nil {
		c.probeFailures.Store(0)
		return resp.Msg, nil
	}
	if c.probeFailures.Add(1) >= maxProbeFailures {
		p.discard(address, c)
	}
	return nil, &BrokenError{Address: address, Cause: err}
}
