// Package settings reads the small YAML file that each process gets: its own
// addresses and failure domain, the platform's addresses, timeouts and limits.
// A file is checked whole; all of its faults are reported together.
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

// Defaults of the platform's timeouts.
const (
	defaultTableTimeout  = 2 * time.Second
	defaultObjectTimeout = 5 * time.Second
	defaultVMListTimeout = 2 * time.Second
	minTimeout           = 10 * time.Millisecond
	maxTimeout           = time.Hour
)

var nameRule = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)

// Node is what all processes have in common.
type Node struct {
	// Name identifies the process in the deployment.
	Name string `yaml:"name"`
	// VM is the VM that the process runs on.
	VM string `yaml:"vm"`
	// FailureDomain is the VM's failure domain.
	FailureDomain string `yaml:"failure_domain"`
	// Region is the failure domain's region.
	Region string `yaml:"region"`
	// Peers is where the system's other processes reach this one, as IP:port.
	Peers string `yaml:"peers"`
	// Operators is where operators reach this process, as IP:port.
	Operators string `yaml:"operators"`
	// SecretFile holds the deployment's secret, at least 16 bytes.
	SecretFile string `yaml:"secret_file"`
	// TLS names the files for mutual TLS between processes. Without them, the
	// secret alone is shown.
	TLS peer.TLSFiles `yaml:"tls,omitempty"`
	// Platform tells where the platform's services are.
	Platform Platform `yaml:"platform"`
	// Seeds are peers' addresses that are known from the start, as IP:port.
	Seeds []string `yaml:"seeds,omitempty"`
}

// Platform tells where the platform's services are.
type Platform struct {
	// Table is the table service's base URL.
	Table string `yaml:"table"`
	// Objects is the object store's base URL.
	Objects string `yaml:"objects"`
	// VMs is the VM list's base URL.
	VMs string `yaml:"vms"`
	// TableTimeout bounds one request to the table service.
	TableTimeout time.Duration `yaml:"table_timeout,omitempty"`
	// ObjectTimeout bounds one request to the object store.
	ObjectTimeout time.Duration `yaml:"object_timeout,omitempty"`
	// VMsTimeout bounds one reading of the VM list.
	VMsTimeout time.Duration `yaml:"vms_timeout,omitempty"`
}

// Entry is the settings of an entry node.
type Entry struct {
	Node `yaml:"node"`
	// Callers is where callers reach the node, as IP:port.
	Callers string `yaml:"callers"`
	// Limits bound what callers may send.
	Limits entry.Limits `yaml:"limits,omitempty"`
	// DebugVars shows the node's figures to callers, too, at /debug/vars.
	DebugVars bool `yaml:"debug_vars,omitempty"`
}

// Agent is the settings of the agent beside an endpoint.
type Agent struct {
	Node `yaml:"node"`
	// Endpoint is the endpoint's name in the configuration.
	Endpoint string `yaml:"endpoint"`
}

// FileError tells that a file cannot be read.
type FileError struct {
	File  string
	Cause error
}

// Error says which file and why.
func (e *FileError) Error() string { return "file " + e.File + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// LoadEntry reads an entry node's settings. Errors are *FileError or
// *strictyaml.FaultsError.
func LoadEntry(file string) (*Entry, error) {
	text, err := readFile(file)
	if err != nil {
		return nil, err
	}
	return ParseEntry(file, text)
}

// ParseEntry checks an entry node's settings. Errors are
// *strictyaml.FaultsError.
func ParseEntry(file string, text []byte) (*Entry, error) {
	s := Entry{Limits: entry.DefaultLimits()}
	s.Platform.defaults()
	doc, err := strictyaml.Decode(file, text, &s)
	if err != nil {
		return nil, err
	}
	if !doc.Faulty() {
		c := checker{doc}
		c.node(&s.Node)
		c.address("callers", s.Callers)
		c.limits(&s.Limits)
	}
	return &s, doc.Err()
}

// LoadAgent reads an agent's settings. Errors are as for LoadEntry.
func LoadAgent(file string) (*Agent, error) {
	text, err := readFile(file)
	if err != nil {
		return nil, err
	}
	return ParseAgent(file, text)
}

// ParseAgent checks an agent's settings. Errors are *strictyaml.FaultsError.
func ParseAgent(file string, text []byte) (*Agent, error) {
	var s Agent
	s.Platform.defaults()
	doc, err := strictyaml.Decode(file, text, &s)
	if err != nil {
		return nil, err
	}
	if !doc.Faulty() {
		c := checker{doc}
		c.node(&s.Node)
		c.name("endpoint", s.Endpoint)
	}
	return &s, doc.Err()
}

// Secret reads the deployment's secret. Errors are *FileError or
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

func (p *Platform) defaults() {
	p.TableTimeout = defaultTableTimeout
	p.ObjectTimeout = defaultObjectTimeout
	p.VMsTimeout = defaultVMListTimeout
}

// checker adds a fault for each rule that settings break.
type checker struct {
	doc *strictyaml.Document
}

func (c checker) name(path, name string) {
	if !nameRule.MatchString(name) {
		c.doc.Add(path, "1 to 63 of a-z, 0-9, '.', '_' and '-', beginning and ending with a letter or digit")
	}
}

func (c checker) address(path, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		c.doc.Add(path, "an IP number and a port, such as 10.0.0.7:8000")
	}
}

func (c checker) url(path, text string) {
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		c.doc.Add(path, "a URL such as http://10.0.0.1:9000")
	}
}

func (c checker) timeout(path string, d time.Duration) {
	if d < minTimeout || d > maxTimeout {
		c.doc.Add(path, fmt.Sprintf("a duration from %s to %s", minTimeout, maxTimeout))
	}
}

func (c checker) node(n *Node) {
	c.name("node.name", n.Name)
	c.name("node.vm", n.VM)
	c.name("node.failure_domain", n.FailureDomain)
	c.name("node.region", n.Region)
	c.address("node.peers", n.Peers)
	c.address("node.operators", n.Operators)
	if n.SecretFile == "" {
		c.doc.Add("node.secret_file", "the path of a file that holds the secret")
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
			c.doc.Add("node.tls."+field.name, "the path of a PEM file; certificate, key and ca go together")
		}
	}
}

func (c checker) platform(p *Platform) {
	c.url("node.platform.table", p.Table)
	c.url("node.platform.objects", p.Objects)
	c.url("node.platform.vms", p.VMs)
	c.timeout("node.platform.table_timeout", p.TableTimeout)
	c.timeout("node.platform.object_timeout", p.ObjectTimeout)
	c.timeout("node.platform.vms_timeout", p.VMsTimeout)
}

func (c checker) limits(l *entry.Limits) {
	if l.MaxBodyBytes < 1 {
		c.doc.Add("limits.max_body_bytes", "a whole number of bytes above 0")
	}
	if l.MaxHeaderBytes < 1 {
		c.doc.Add("limits.max_header_bytes", "a whole number of bytes above 0")
	}
	c.timeout("limits.header_timeout", l.HeaderTimeout)
	c.timeout("limits.body_timeout", l.BodyTimeout)
	c.timeout("limits.request_timeout", l.RequestTimeout)
	c.timeout("limits.drain_grace", l.DrainGrace)
}
