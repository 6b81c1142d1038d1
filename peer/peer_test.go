package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const testSecret = "a-secret-of-the-tests"

// authority is a certificate authority for tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	dir  string
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	cert, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	a := &authority{cert: cert, key: key, dir: t.TempDir()}
	a.write(t, "ca.pem", "CERTIFICATE", der)
	return a
}

// write writes a PEM file and returns its path.
func (a *authority) write(t *testing.T, name, kind string, der []byte) string {
	t.Helper()
	file := filepath.Join(a.dir, name)
	assert.NilError(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return file
}

// files returns the certificate files of a new process.
func (a *authority) files(t *testing.T) TLSFiles {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "process"}, NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	return TLSFiles{
		Certificate: a.write(t, "cert.pem", "CERTIFICATE", der),
		Key:         a.write(t, "key.pem", "EC PRIVATE KEY", keyDER),
		CA:          filepath.Join(a.dir, "ca.pem"),
	}
}

func security(t *testing.T, secret string, files TLSFiles) *Security {
	t.Helper()
	s, err := NewSecret(secret)
	assert.NilError(t, err)
	sec, err := NewSecurity(s, files)
	assert.NilError(t, err)
	return sec
}

// serve runs a server that responds with the request's protocol, and returns its
// address.
func serve(t *testing.T, s *Security) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := s.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.Proto)
	}))
	go func() { _ = s.Serve(server, l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// call sends a request to the peer at address and returns the status and the body.
// The status is 0 if the connection failed.
func call(s *Security, address string) (int, string) {
	client := &http.Client{Transport: s.Transport()}
	// The membership package always uses the http scheme; the transport must
	// switch to TLS.
	resp, err := client.Get("http://" + address)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text)
}

// TestAuthentication: a server accepts only clients with its secret, and with a
// certificate of its authority if it has certificate files itself.
func TestAuthentication(t *testing.T) {
	ca, otherCA := newAuthority(t), newAuthority(t)
	files, otherFiles := ca.files(t), otherCA.files(t)
	plain := security(t, testSecret, TLSFiles{})
	mutual := security(t, testSecret, files)
	tests := []struct {
		name           string
		server, client *Security
		status         int
	}{
		{"the secret", plain, plain, http.StatusOK},
		{"another secret", plain, security(t, "another-secret-of-tests", TLSFiles{}), http.StatusUnauthorized},
		{"certificates", mutual, mutual, http.StatusOK},
		{"certificates and another secret", mutual, security(t, "another-secret-of-tests", files), http.StatusUnauthorized},
		{"no certificate", mutual, plain, 0},
		{"a certificate of another authority", mutual, security(t, testSecret, otherFiles), 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			status, text := call(test.client, serve(t, test.server))
			assert.Equal(t, status, test.status)
			if status == http.StatusOK {
				assert.Equal(t, text, "HTTP/2.0")
			}
		})
	}
}

// TestBadSecretsAndFiles checks that errors in the secret and the files are
// reported with the path of the file.
func TestBadSecretsAndFiles(t *testing.T) {
	_, err := NewSecret("short")
	assert.ErrorType(t, err, &SecretError{})
	secret, err := NewSecret(testSecret)
	assert.NilError(t, err)
	_, err = NewSecurity(secret, TLSFiles{Certificate: "none.pem", Key: "none.pem", CA: "none.pem"})
	assert.ErrorType(t, err, &CertificateError{})
	assert.ErrorContains(t, err, "none.pem")
}
