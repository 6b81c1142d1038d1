// Package peer provides HTTP servers and transports for connections between the
// processes of a deployment. They use HTTP/2 and authenticate requests by the
// deployment's secret. With certificate files they also use mutual TLS. Responses
// are not compressed, because messages are small and networks fast.
package peer

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"os"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
)

// Limits of connections between processes.
const (
	dialTimeout = time.Second
	// Calls detect broken connections by their own heartbeats and timeouts. Pings
	// only close broken connections that carry no calls.
	pingInterval          = time.Minute
	pingTimeout           = 5 * time.Second
	idleTimeout           = 90 * time.Second
	headerTimeout         = 5 * time.Second
	maxHeaderBytes        = 64 << 10
	maxStreams            = 100_000
	streamWindowBytes     = 256 << 10
	connectionWindowBytes = 4 << 20
	minSecretBytes        = 16
	secretHeader          = "X-Cyclamenpoint-Secret"
	clientCertRequired    = tls.RequireAndVerifyClientCert
)

// Secret is the deployment's shared secret. Its String and GoString methods hide
// the value.
type Secret struct {
	value string
}

// NewSecret returns a Secret, or a *SecretError if value is too short.
func NewSecret(value string) (Secret, error) {
	if len(value) < minSecretBytes {
		return Secret{}, &SecretError{Reason: "it is shorter than 16 bytes"}
	}
	return Secret{value: value}, nil
}

// String implements fmt.Stringer without revealing the secret.
func (Secret) String() string { return "(secret)" }

// GoString implements fmt.GoStringer without revealing the secret.
func (Secret) GoString() string { return "(secret)" }

// SecretError reports an invalid secret.
type SecretError struct {
	Reason string
}

// Error implements error.
func (e *SecretError) Error() string { return "the secret cannot be used: " + e.Reason }

// CertificateError reports an invalid certificate file.
type CertificateError struct {
	File   string
	Reason string
}

// Error implements error.
func (e *CertificateError) Error() string { return "certificate file " + e.File + ": " + e.Reason }

// TLSFiles holds the paths of the PEM files for mutual TLS. Either all are set
// or none.
type TLSFiles struct {
	Certificate string `yaml:"certificate,omitempty"`
	Key         string `yaml:"key,omitempty"`
	CA          string `yaml:"ca,omitempty"`
}

// Security authenticates a process to its peers, and its peers to the process.
type Security struct {
	secret Secret
	server *tls.Config
	client *tls.Config
}

// NewSecurity loads the certificate files, if any. Errors are
// *CertificateError.
func NewSecurity(secret Secret, files TLSFiles) (*Security, error) {
	s := &Security{secret: secret}
	if files == (TLSFiles{}) {
		return s, nil
	}
	cert, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return nil, &CertificateError{File: files.Certificate, Reason: err.Error()}
	}
	pem, err := os.ReadFile(files.CA)
	if err != nil {
		return nil, &CertificateError{File: files.CA, Reason: err.Error()}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, &CertificateError{File: files.CA, Reason: "no certificate in it"}
	}
	s.server = &tls.Config{Certificates: []tls.Certificate{cert}, ClientCAs: pool, ClientAuth: clientCertRequired, MinVersion: tls.VersionTLS13}
	s.client = &tls.Config{Certificates: []tls.Certificate{cert}, RootCAs: pool, MinVersion: tls.VersionTLS13}
	return s, nil
}

// BaseURL returns the base URL of the peer at address.
func (s *Security) BaseURL(address string) string {
	if s.client != nil {
		return "https://" + address
	}
	return "http://" + address
}

// minCompressBytes is larger than any response, so that none is compressed. A
// compressor takes about a megabyte of memory for each stream.
const minCompressBytes = 1 << 30

// ServerOptions returns the Connect options for all handlers that serve peers.
func ServerOptions() connect.HandlerOption {
	return connect.WithCompressMinBytes(minCompressBytes)
}

// RequireSecret returns a handler that rejects requests without the secret and
// passes others to next.
func (s *Security) RequireSecret(next http.Handler) http.Handler {
	want := sha256.Sum256([]byte(s.secret.value))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := sha256.Sum256([]byte(r.Header.Get(secretHeader)))
		if subtle.ConstantTimeCompare(want[:], got[:]) != 1 {
			http.Error(w, "the deployment's secret is required", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Transport returns an HTTP transport to peers with its own connections. It adds
// the secret to each request.
func (s *Security) Transport() *Transport {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(s.client == nil)
	protocols.SetHTTP2(s.client != nil)
	base := &http.Transport{
		DialContext:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
		Protocols:       protocols,
		TLSClientConfig: s.client,
		IdleConnTimeout: idleTimeout,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:               pingInterval,
			PingTimeout:                   pingTimeout,
			MaxReceiveBufferPerStream:     streamWindowBytes,
			MaxReceiveBufferPerConnection: connectionWindowBytes,
		},
	}
	return &Transport{base: base, secret: s.secret, tls: s.client != nil}
}

// Transport sends requests to peers. It is safe for concurrent use.
type Transport struct {
	base   *http.Transport
	secret Secret
	tls    bool
}

// RoundTrip implements http.RoundTripper. It adds the secret to the request and
// uses TLS if it is configured, whatever the scheme of the request's URL.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	out := r.Clone(r.Context())
	out.Header.Set(secretHeader, t.secret.value)
	if t.tls {
		out.URL.Scheme = "https"
	}
	return t.base.RoundTrip(out)
}

// CloseIdleConnections closes the connections that carry no requests.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// NewServer returns an HTTP server that requires the secret.
func (s *Security) NewServer(handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(s.server == nil)
	protocols.SetHTTP2(s.server != nil)
	return &http.Server{
		Handler:           s.RequireSecret(handler),
		Protocols:         protocols,
		TLSConfig:         s.server,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams:          maxStreams,
			SendPingTimeout:               pingInterval,
			PingTimeout:                   pingTimeout,
			MaxReceiveBufferPerStream:     streamWindowBytes,
			MaxReceiveBufferPerConnection: connectionWindowBytes,
		},
	}
}

// Serve serves connections from l until server is shut down, and then returns
// nil.
func (s *Security) Serve(server *http.Server, l net.Listener) error {
	var err error
	if s.server != nil {
		err = server.ServeTLS(l, "", "")
	} else {
		err = server.Serve(l)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve peers")
}

// Stop shuts server down. It waits for pending requests until ctx ends.
func Stop(ctx context.Context, server *http.Server) error {
	return errors.Wrap(server.Shutdown(ctx), "stop serving")
}
