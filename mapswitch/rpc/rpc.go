// Package rpc transports the messages of package mapswitch between the agents of
// a rank group.
package rpc

import (
	"context"
	"fmt"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	cyclamenpointv1 "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
	"github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1/cyclamenpointv1connect"
	"github.com/cyclamenpoint/cyclamenpoint/mapswitch"
)

// GroupError is returned for a message that is addressed to another group.
type GroupError struct {
	Group string
	Want  string
}

// Error implements error.
func (e *GroupError) Error() string {
	return fmt.Sprintf("message of group %q reached an agent of group %q", e.Group, e.Want)
}

// MessageError is returned for a message with a missing or invalid field.
type MessageError struct{ Field string }

// Error implements error.
func (e *MessageError) Error() string { return fmt.Sprintf("message has no valid %s", e.Field) }

// Receiver receives the messages to one rank of a group. Deliver may be called
// from any goroutine.
type Receiver interface {
	Deliver(env mapswitch.Envelope) error
}

// Server serves RankGroupService for one rank of one group.
type Server struct {
	group    string
	receiver Receiver
}

var _ cyclamenpointv1connect.RankGroupServiceHandler = (*Server)(nil)

// NewServer returns a server that delivers messages to the receiver.
func NewServer(group string, receiver Receiver) *Server {
	return &Server{group: group, receiver: receiver}
}

// Deliver implements RankGroupServiceHandler. It returns CodeInvalidArgument for a
// message that is invalid or addressed to another group or rank, and
// CodeResourceExhausted if the receiver's queue is full.
func (s *Server) Deliver(_ context.Context, req *connect.Request[cyclamenpointv1.DeliverRequest]) (*connect.Response[cyclamenpointv1.DeliverResponse], error) {
	if req.Msg.Group != s.group {
		return nil, connect.NewError(connect.CodeInvalidArgument, &GroupError{req.Msg.Group, s.group})
	}
	env, err := decode(req.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	if err := s.receiver.Deliver(env); err != nil {
		return nil, connect.NewError(codeOf(err), err)
	}
	return connect.NewResponse(&cyclamenpointv1.DeliverResponse{}), nil
}

func codeOf(err error) connect.Code {
	var full *mapswitch.QueueFullError
	if errors.As(err, &full) {
		return connect.CodeResourceExhausted
	}
	return connect.CodeInvalidArgument
}

// Transport sends messages to the agents of one group. It implements
// mapswitch.Transport and is safe for concurrent use.
type Transport struct {
	group   string
	clients map[mapswitch.Rank]cyclamenpointv1connect.RankGroupServiceClient
}

var _ mapswitch.Transport = (*Transport)(nil)

// NewTransport returns a Transport that sends to each rank at its base URL.
func NewTransport(group string, client connect.HTTPClient, urls map[mapswitch.Rank]string) *Transport {
	t := &Transport{group: group, clients: make(map[mapswitch.Rank]cyclamenpointv1connect.RankGroupServiceClient)}
	for r, url := range urls {
		t.clients[r] = cyclamenpointv1connect.NewRankGroupServiceClient(client, url)
	}
	return t
}

// Send implements mapswitch.Transport. After an error the message may or may not
// have arrived.
func (t *Transport) Send(ctx context.Context, env mapswitch.Envelope) error {
	client, ok := t.clients[env.To]
	if !ok {
		return &mapswitch.ReceiverError{Group: t.group, Rank: env.From, To: env.To}
	}
	req, err := encode(t.group, env)
	if err != nil {
		return err
	}
	_, err = client.Deliver(ctx, connect.NewRequest(req))
	return errors.Wrapf(err, "deliver to rank %d", env.To)
}
