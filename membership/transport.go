package membership

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	lru "github.com/hashicorp/golang-lru/v2"

	cyclamenpointv1 "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
	"github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1/cyclamenpointv1connect"
	"github.com/cyclamenpoint/cyclamenpoint/peer"
)

// maxClients bounds the clients that an HTTPTransport caches.
const maxClients = 2048

// HTTPTransport is a Transport over HTTP. It is safe for concurrent use.
type HTTPTransport struct {
	http    *http.Client
	clients *lru.Cache[string, cyclamenpointv1connect.MembershipServiceClient]
}

// NewHTTPTransport returns a transport that uses client.
func NewHTTPTransport(client *http.Client) *HTTPTransport {
	// New fails only for a size that is not positive.
	clients, _ := lru.New[string, cyclamenpointv1connect.MembershipServiceClient](maxClients)
	return &HTTPTransport{http: client, clients: clients}
}

func (t *HTTPTransport) client(address string) cyclamenpointv1connect.MembershipServiceClient {
	if c, ok := t.clients.Get(address); ok {
		return c
	}
	c := cyclamenpointv1connect.NewMembershipServiceClient(t.http, "http://"+address)
	t.clients.Add(address, c)
	return c
}

// Exchange implements Transport. The error is a *connect.Error.
func (t *HTTPTransport) Exchange(ctx context.Context, address string, req *cyclamenpointv1.ExchangeRequest) (*cyclamenpointv1.ExchangeResponse, error) {
	resp, err := t.client(address).Exchange(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// Check implements Transport. The error is a *connect.Error.
func (t *HTTPTransport) Check(ctx context.Context, address string, req *cyclamenpointv1.CheckRequest) (*cyclamenpointv1.CheckResponse, error) {
	resp, err := t.client(address).Check(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// NewHandler returns the path and the HTTP handler of node's service.
func NewHandler(node *Node) (string, http.Handler) {
	return cyclamenpointv1connect.NewMembershipServiceHandler(service{node: node}, peer.ServerOptions())
}

// service implements the Connect service on a Node.
type service struct {
	node *Node
}

// Exchange implements cyclamenpointv1connect.MembershipServiceHandler.
func (s service) Exchange(_ context.Context, req *connect.Request[cyclamenpointv1.ExchangeRequest]) (*connect.Response[cyclamenpointv1.ExchangeResponse], error) {
	return connect.NewResponse(s.node.HandleExchange(req.Msg)), nil
}

// Check implements cyclamenpointv1connect.MembershipServiceHandler.
func (s service) Check(ctx context.Context, req *connect.Request[cyclamenpointv1.CheckRequest]) (*connect.Response[cyclamenpointv1.CheckResponse], error) {
	return connect.NewResponse(s.node.HandleCheck(ctx, req.Msg)), nil
}
