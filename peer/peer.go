// Package peer owns the connections between the system's own processes: HTTP/2
// without TLS under the deployment's secret, or under mutual TLS where
// certificate files are given. Messages are small and stay on fast networks, so
// that none is compressed.
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

// Limits of a connection between processes.
const (
	dialTimeout = time.Second
	// Calls notice a silent connection by their own heartbeats and timeouts; the
	// pings only end connections that nobody calls over.
	pingAfter          = time.Minute
	pingTimeout        = 5 * time.Second
	idleTimeout        = 90 * time.Second
	headerTimeout      = 5 * time.Second
	maxHeaderBytes     = 64 << 10
	maxStreams         = 100_000
	streamWindowBytes  = 256 << 10
	connectionWindow   = 4 << 20
	minSecretBytes     = 16
	secretHeader       = "X-Cyclamenpoint-Secret"
	clientCertRequired = tls.RequireAndVerifyClientCert
)

// Secret is the deployment's secret. Its value is never printed.
type Secret struct {
	value string
}

// NewSecret checks and wraps a secret.
func NewSecret(value string) (Secret, error) {
	if len(value) < minSecretBytes {
		return Secret{}, &SecretError{Reason: "it is shorter than 16 bytes"}
	}
	return Secret{value: value}, nil
}

// String hides the secret.
func (Secret) String() string { return "(secret)" }

// GoString hides the secret.
func (Secret) GoString() string { return "(secret)" }

// SecretError tells that a secret cannot be used.
type SecretError struct {
	Reason string
}

// Error says why.
func (e *SecretError) Error() string { return "the secret cannot be used: " + e.Reason }

// CertificateError tells that a certificate file cannot be used.
type CertificateError struct {
	File   string
	Reason string
}

// Error says which file and why.
func (e *CertificateError) Error() string { return "certificate file " + e.File + ": " + e.Reason }

// TLSFiles names the PEM files for mutual TLS. All are empty or all are set.
type TLSFiles struct {
	Certificate string `yaml:"certificate,omitempty"`
	Key         string `yaml:"key,omitempty"`
	CA          string `yaml:"ca,omitempty"`
}

// Security is how a process shows itself to the others and checks them.
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

// BaseURL returns the URL of a peer at address.
func (s *Security) BaseURL(address string) string {
	if s.client != nil {
		return "https://" + address
	}
	return "http://" + address
}

// compressNothing keeps a server from compressing its answers: a compressor
// costs each stream about a megabyte.
const compressNothing = 1 << 30

// ServerOptions returns the options of all handlers for peers.
func ServerOptions() connect.HandlerOption {
	return connect.WithCompressMinBytes(compressNothing)
}

// RequireSecret passes only requests that show the secret.
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

// Transport returns a new set of connections to peers. Each request carries
// the secret.
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
			SendPingTimeout:               pingAfter,
			PingTimeout:                   pingTimeout,
			MaxReceiveBufferPerStream:     streamWindowBytes,
			MaxReceiveBufferPerConnection: connectionWindow,
		},
	}
	return &Transport{base: base, secret: s.secret, tls: s.client != nil}
}

// Transport sends requests to peers. It is safe for many goroutines.
type Transport struct {
	base   *http.Transport
	secret Secret
	tls    bool
}

// RoundTrip sends one request with the secret, by TLS where that is set up.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	out := r.Clone(r.Context())
	out.Header.Set(secretHeader, t.secret.value)
	if t.tls {
		out.URL.Scheme = "https"
	}
	return t.base.RoundTrip(out)
}

// CloseIdleConnections closes the connections that carry nothing.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// NewServer returns a server for peers on the guarded handler.
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
			SendPingTimeout:               pingAfter,
			PingTimeout:                   pingTimeout,
			MaxReceiveBufferPerStream:     streamWindowBytes,
			MaxReceiveBufferPerConnection: connectionWindow,
		},
	}
}

// Serve serves on l until Shutdown; it returns nil after one.
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

// Stop shuts server down, waiting for what is in flight until ctx ends.
func Stop(ctx context.Context, server *http.Server) error {
	return errors.Wrap(server.Shutdown(ctx), "stop serving")
}
