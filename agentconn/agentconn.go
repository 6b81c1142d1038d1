// Package agentconn holds an entry node's connections to the agents. A
// connection set that has gone silent is replaced, so that new calls do not
// join a dead connection.
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

// Times of a call to an agent.
const (
	// frameSilence is the longest wait for a frame; agents send a heartbeat
	// each second while they have nothing else to say.
	frameSilence  = 2500 * time.Millisecond
	revokeTimeout = time.Second
	frameQueue    = 64
	// maxSilentProbes is how many probes in a row may go unanswered before the
	// next one takes a new connection.
	maxSilentProbes = 5
)

// Pool holds the connections to all agents. It is safe for many goroutines.
type Pool struct {
	security *peer.Security

	mu    sync.Mutex
	conns map[string]*conn
}

// conn is one set of connections to one agent.
type conn struct {
	transport *peer.Transport
	client    cyclamenpointv1connect.AgentServiceClient
	// silentProbes counts the probes in a row that got no answer.
	silentProbes atomic.Int32
}

// NewPool returns an empty pool.
func NewPool(security *peer.Security) *Pool {
	return &Pool{security: security, conns: make(map[string]*conn)}
}

func (p *Pool) get(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.conns[address]
	if c == nil {
		transport := p.security.Transport()
		c = &conn{
			transport: transport,
			client:    cyclamenpointv1connect.NewAgentServiceClient(&http.Client{Transport: transport}, p.security.BaseURL(address)),
		}
		p.conns[address] = c
	}
	return c
}

// discard drops a connection set so that the next call dials anew. Calls that
// still run on it go on.
func (p *Pool) discard(address string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[address] == c {
		delete(p.conns, address)
		c.transport.CloseIdleConnections()
	}
}

// Close closes the connections that carry nothing. No call may follow.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.transport.CloseIdleConnections()
	}
}

// TimeoutError tells that an agent sent no frame for too long.
type TimeoutError struct {
	Address string
}

// Error says where.
func (e *TimeoutError) Error() string { return "agent " + e.Address + " has gone silent" }

// BrokenError tells that a stream of frames ended without its last one.
type BrokenError struct {
	Address string
	Cause   error
}

// Error says where and why.
func (e *BrokenError) Error() string {
	return "the stream from agent " + e.Address + " broke: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// TruncatedError tells that a stream ended early.
type TruncatedError struct{}

// Error says what was missing.
func (e *TruncatedError) Error() string { return "it ended without its last frame" }

// FrameFunc takes one frame. It returns true for the last one; an error ends
// the call.
type FrameFunc func(*pb.ExecuteResponse) (last bool, err error)

// frame is a frame or the stream's end.
type frame struct {
	msg *pb.ExecuteResponse
	err error
}

// Execute runs one attempt at the agent at address and hands its frames to
// take, in order, from the calling goroutine. It returns nil after the last
// frame, take's own error, a *TimeoutError or a *BrokenError. Frames of another
// attempt are dropped.
func (p *Pool) Execute(ctx context.Context, address string, req *pb.ExecuteRequest, take FrameFunc) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := p.get(address)
	frames := make(chan frame, frameQueue)
	go receive(ctx, c, req, frames)
	timer := time.NewTimer(frameSilence)
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
			timer.Reset(frameSilence)
			if !sameAttempt(f.msg.GetAttempt(), req.GetAttempt()) {
				continue
			}
			last, err := take(f.msg)
			if last || err != nil {
				return err
			}
		}
	}
}

func sameAttempt(a, b *pb.AttemptId) bool {
	return a.GetRequestId() == b.GetRequestId() && a.GetNumber() == b.GetNumber()
}

// receive moves frames from the stream to the channel.
func receive(ctx context.Context, c *conn, req *pb.ExecuteRequest, frames chan<- frame) {
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

// Revoke asks the agent for proof that an attempt did not run and never will.
// It uses a connection of its own, because the attempt's may be dead.
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

// Probe asks an agent for its load; ctx bounds the wait.
func (p *Pool) Probe(ctx context.Context, address string, req *pb.ProbeRequest) (*pb.ProbeResponse, error) {
	c := p.get(address)
	resp, err := c.client.Probe(ctx, connect.NewRequest(req))
	if err == nil {
		c.silentProbes.Store(0)
		return resp.Msg, nil
	}
	if c.silentProbes.Add(1) >= maxSilentProbes {
		p.discard(address, c)
	}
	return nil, &BrokenError{Address: address, Cause: err}
}
