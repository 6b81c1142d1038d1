// Package settings reads the YAML settings file of a process: its own addresses and
// failure domain, the URLs of the platform's services, timeouts and limits. All
// faults of a file are reported together.
package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/cyclamenpoint/cyclamenpoint/entry"
	"github.com/cyclamenpoint/cyclamenpoint/peer"
	"github.com/cyclamenpoint/cyclamenpoint/strictyaml"
)

// Defaults and limits of the timeouts.
const (
	defaultTableTimeout  = 2 * time.Second
	defaultObjectTimeout = 5 * time.Second
	defaultVMListTimeout = 2 * time.Second
	minTimeout           = 10 * time.Millisecond
	maxTimeout           = time.Hour
)

// Least limits of the process: below them a request of 4 MiB does not fit.
const (
	minMemoryBytes = 64_000_000
	minDescriptors = 256
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)

// Node holds the settings that all processes have in common.
type Node struct {
	// Name is the unique name of the process in the deployment.
	Name string `yaml:"name"`
	// VM is the VM that the process runs on.
	VM string `yaml:"vm"`
	// FailureDomain is the VM's failure domain.
	FailureDomain string `yaml:"failure_domain"`
	// Region is the failure domain's region.
	Region string `yaml:"region"`
	// PeerAddress is the address at which this process listens for the other
	// processes of the system, as IP:port.
	PeerAddress string `yaml:"peers"`
	// OperatorAddress is the address at which this process listens for operators, as
	// IP:port.
	OperatorAddress string `yaml:"operators"`
	// SecretFile is the path of the file that holds the deployment's secret, which
	// has at least 16 bytes.
	SecretFile string `yaml:"secret_file"`
	// TLS names the files for mutual TLS between processes. Without them, processes
	// authenticate each other by the secret alone.
	TLS peer.TLSFiles `yaml:"tls,omitempty"`
	// Platform locates the platform's services.
	Platform Platform `yaml:"platform"`
	// Seeds are the addresses of the peers that the process contacts first, as
	// IP:port.
	Seeds []string `yaml:"seeds,omitempty"`
}

// Platform holds the URLs of the platform's services and their timeouts.
type Platform struct {
	// TableURL is the base URL of the table service.
	TableURL string `yaml:"table"`
	// ObjectStoreURL is the base URL of the object store.
	ObjectStoreURL string `yaml:"objects"`
	// VMListURL is the base URL of the VM list.
	VMListURL string `yaml:"vms"`
	// TableTimeout limits one request to the table service.
	TableTimeout time.Duration `yaml:"table_timeout,omitempty"`
	// ObjectTimeout limits one request to the object store.
	ObjectTimeout time.Duration `yaml:"object_timeout,omitempty"`
	// VMListTimeout limits one request to the VM list.
	VMListTimeout time.Duration `yaml:"vms_timeout,omitempty"`
}

// Entry holds the settings of an entry node.
type Entry struct {
	Node `yaml:"node"`
	// CallerAddress is the address at which the node listens for callers, as IP:port.
	CallerAddress string `yaml:"callers"`
	// Limits restrict the size and the duration of callers' requests.
	Limits entry.Limits `yaml:"limits,omitempty"`
	// DebugVars also serves the node's expvar metrics to callers, at /debug/vars.
	DebugVars bool `yaml:"debug_vars,omitempty"`
}

// Agent holds the settings of the agent beside an endpoint.
type Agent struct {
	Node `yaml:"node"`
	// Endpoint is the name of the endpoint in the configuration.
	Endpoint string `yaml:"endpoint"`
}

// FileError reports a file that cannot be read.
type FileError struct {
	File  string
	Cause error
}

// Error implements error.
func (e *FileError) Error() string { return "file " + e.File + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// LoadEntry reads the settings of an entry node. Errors are *FileError or
// *strictyaml.FaultsError.
func LoadEntry(file string) (*Entry, error) {
	text, err := readFile(file)
	if err != nil {
		return nil, err
	}
	return ParseEntry(file, text)
}

// ParseEntry parses and checks the settings of an entry node. The error is a
// *strictyaml.FaultsError.
func ParseEntry(file string, text []byte) (*Entry, error) {
	s := Entry{Limits: entry.DefaultLimits()}
	s.Platform.setDefaultTimeouts()
	doc, err := strictyaml.Decode(file, text, &s)
	if err != nil {
		return nil, err
	}
	if !doc.HasFaults() {
		c := checker{doc}
		c.node(&s.Node)
		c.address("callers", s.CallerAddress)
		c.limits(&s.Limits)
	}
	return &s, doc.Err()
}

// LoadAgent reads the settings of an agent. Errors are those of LoadEntry.
func LoadAgent(file string) (*Agent, error) {
	text, err := readFile(file)
	if err != nil {
		return nil, err
	}
	return ParseAgent(file, text)
}

// ParseAgent parses and checks the settings of an agent. The error is a
// *strictyaml.FaultsError.
func ParseAgent(file string, text []byte) (*Agent, error) {
	var s Agent
	s.Platform.setDefaultTimeouts()
	doc, err := strictyaml.Decode(file, text, &s)
	if err != nil {
		return nil, err
	}
	if !doc.HasFaults() {
		c := checker{doc}
		c.node(&s.Node)
		c.name("endpoint", s.Endpoint)
	}
	return &s, doc.Err()
}

// Secret reads the deployment's secret. The error is a *FileError or wraps a
// *peer.SecretError.
func (n *Node) Secret() (peer.Secret, error) {
	text, err := readFile(n.SecretFile)
	if err != nil {
		return peer.Secret{}, err
	}
	secret, err := peer.NewSecret(strings.TrimSpace(string(text)))
	return secret, errors.WithMessage(err, n.SecretFile)
}

func readFile(file string) ([]byte, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, &FileError{File: file, Cause: err}
	}
	return text, nil
}

func (p *Platform) setDefaultTimeouts() {
	p.TableTimeout = defaultTableTimeout
	p.ObjectTimeout = defaultObjectTimeout
	p.VMListTimeout = defaultVMListTimeout
}

// checker records a fault for each setting that is invalid.
type checker struct {
	doc *strictyaml.Document
}

func (c checker) name(path, name string) {
	if !namePattern.MatchString(name) {
		c.doc.AddFault(path, "1 to 63 of a-z, 0-9, '.', '_' and '-', beginning and ending with a letter or digit")
	}
}

func (c checker) address(path, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		c.doc.AddFault(path, "an IP number and a port, such as 10.0.0.7:8000")
	}
}

func (c checker) url(path, text string) {
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		c.doc.AddFault(path, "a URL such as http://10.0.0.1:9000")
	}
}

func (c checker) timeout(path string, d time.Duration) {
	if d < minTimeout || d > maxTimeout {
		c.doc.AddFault(path, fmt.Sprintf("a duration from %s to %s", minTimeout, maxTimeout))
	}
}

func (c checker) node(n *Node) {
	c.name("node.name", n.Name)
	c.name("node.vm", n.VM)
	c.name("node.failure_domain", n.FailureDomain)
	c.name("node.region", n.Region)
	c.address("node.peers", n.PeerAddress)
	c.address("node.operators", n.OperatorAddress)
	if n.SecretFile == "" {
		c.doc.AddFault("node.secret_file", "the path of a file that holds the secret")
	}
	c.tls(&n.TLS)
	c.platform(&n.Platform)
	for i, seed := range n.Seeds {
		c.address(fmt.Sprintf("node.seeds[%d]", i), seed)
	}
}

func (c checker) tls(f *peer.TLSFiles) {
	if *f == (peer.TLSFiles{}) {
		return
	}
	for _, field := range []struct{ name, value string }{
		{"certificate", f.Certificate}, {"key", f.Key}, {"ca", f.CA},
	} {
		if field.value == "" {
			c.doc.AddFault("node.tls."+field.name, "the path of a PEM file; certificate, key and ca go together")
		}
	}
}

func (c checker) platform(p *Platform) {
	c.url("node.platform.table", p.TableURL)
	c.url("node.platform.objects", p.ObjectStoreURL)
	c.url("node.platform.vms", p.VMListURL)
	c.timeout("node.platform.table_timeout", p.TableTimeout)
	c.timeout("node.platform.object_timeout", p.ObjectTimeout)
	c.timeout("node.platform.vms_timeout", p.VMListTimeout)
}

func (c checker) limits(l *entry.Limits) {
	if l.MaxBodyBytes < 1 {
		c.doc.AddFault("limits.max_body_bytes", "a whole number of bytes above 0")
	}
	if l.MaxHeaderBytes < 1 {
		c.doc.AddFault("limits.max_header_bytes", "a whole number of bytes above 0")
	}
	if l.MemoryBytes < minMemoryBytes {
		c.doc.AddFault("limits.memory_bytes", fmt.Sprintf("a whole number of bytes, at least %d", minMemoryBytes))
	}
	if l.MaxDescriptors < minDescriptors {
		c.doc.AddFault("limits.max_descriptors", fmt.Sprintf("a whole number, at least %d", minDescriptors))
	}
	c.timeout("limits.header_timeout", l.HeaderTimeout)
	c.timeout("limits.body_timeout", l.BodyTimeout)
	c.timeout("limits.request_timeout", l.RequestTimeout)
	c.timeout("limits.drain_grace", l.DrainGrace)
}
