package command

import (
	"context"
	"net/http"
	"os"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1/cyclamenpointv1connect"
	"github.com/cyclamenpoint/cyclamenpoint/peer"
	"github.com/cyclamenpoint/cyclamenpoint/settings"
)

// callTimeout limits one call to a node.
const callTimeout = 15 * time.Second

// nodeOptions are the options for reaching nodes.
type nodeOptions struct {
	Nodes       []string `long:"node" value-name:"IP:PORT" description:"a node's address for operators; may be given several times"`
	SecretFile  string   `long:"secret-file" value-name:"FILE" description:"the file that holds the deployment's secret"`
	Certificate string   `long:"tls-certificate" value-name:"FILE" description:"certificate for mutual TLS"`
	Key         string   `long:"tls-key" value-name:"FILE" description:"key of the certificate"`
	CA          string   `long:"tls-ca" value-name:"FILE" description:"certificate authority of the nodes"`
}

// NodeCallError reports a failed call to a node.
type NodeCallError struct {
	Node  string
	Cause error
}

// Error implements error.
func (e *NodeCallError) Error() string { return "node " + e.Node + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NodeCallError) Unwrap() error { return e.Cause }

// nodeClient is a client of one node.
type nodeClient struct {
	address string
	cyclamenpointv1connect.NodeServiceClient
}

// clients returns a client for each named node.
func (o *nodeOptions) clients() ([]nodeClient, error) {
	if len(o.Nodes) == 0 || o.SecretFile == "" {
		return nil, &flags.Error{Type: flags.ErrRequired, Message: "--node and --secret-file are required"}
	}
	text, err := os.ReadFile(o.SecretFile)
	if err != nil {
		return nil, &settings.FileError{File: o.SecretFile, Cause: err}
	}
	secret, err := peer.NewSecret(strings.TrimSpace(string(text)))
	if err != nil {
		return nil, err
	}
	security, err := peer.NewSecurity(secret, peer.TLSFiles{Certificate: o.Certificate, Key: o.Key, CA: o.CA})
	if err != nil {
		return nil, err
	}
	clients := make([]nodeClient, 0, len(o.Nodes))
	for _, address := range o.Nodes {
		client := &http.Client{Transport: security.Transport()}
		clients = append(clients, nodeClient{
			address:           address,
			NodeServiceClient: cyclamenpointv1connect.NewNodeServiceClient(client, security.BaseURL(address)),
		})
	}
	return clients, nil
}

// callAny calls the nodes in order until a call succeeds. If none does, it returns
// the last error.
func callAny[T any](o *nodeOptions, call func(context.Context, nodeClient) (*connect.Response[T], error)) (*T, error) {
	clients, err := o.clients()
	if err != nil {
		return nil, err
	}
	var lastErr error
	for _, client := range clients {
		msg, err := callNode(client, call)
		if err == nil {
			return msg, nil
		}
		lastErr = err
	}
	return nil, lastErr
}

// callNode makes one call with callTimeout. The error is a *NodeCallError.
func callNode[T any](client nodeClient, call func(context.Context, nodeClient) (*connect.Response[T], error)) (*T, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	resp, err := call(ctx, client)
	if err != nil {
		return nil, &NodeCallError{Node: client.address, Cause: errors.WithStack(err)}
	}
	return resp.Msg, nil
}
