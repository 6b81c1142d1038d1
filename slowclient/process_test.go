package slowclient

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	// The programs under test consist of this package. The import makes the results of the
	// tests out of date whenever the programs change.
	_ "github.com/cyclamenpoint/cyclamenpoint/command"
	"github.com/cyclamenpoint/cyclamenpoint/standin/endpoint"
	"github.com/cyclamenpoint/cyclamenpoint/standin/rowstore"
)

// Limits that the tests state in the settings: the memory of the smallest VM, and few
// descriptors, so that few connections exceed them.
const (
	memoryMB       = 136
	maxDescriptors = 900
	// fileDescriptors is the part of maxDescriptors that is not for connections.
	fileDescriptors = 200
)

// Limits that the tests state in the configuration.
const (
	maxBodyBytes   = 4 << 20
	maxHeaderBytes = 16 << 10
)

// longAnswerBytes is the size of the answers below /long/. It exceeds what the socket
// buffers of a connection hold.
const longAnswerBytes = 3 << 20

// Addresses of the processes on loopback. Each run of the tests has a network of its own, so
// that several can run on one machine. The metrics port is fixed, so each kind of process has
// an IP address of its own.
var (
	network         = fmt.Sprintf("127.%d.%d.", 100+os.Getpid()>>8&0x7f, os.Getpid()&0xff)
	gatewayIP       = network + "10"
	agentIP         = network + "11"
	demoAddress     = network + "12:18080"
	ordinaryAddress = network + "20"
	callerAddress   = gatewayIP + ":8227"
	readyAddress    = gatewayIP + ":8220"
	peerAddress     = gatewayIP + ":7340"
	metricsAddress  = gatewayIP + ":9464"
	agentPeer       = agentIP + ":7341"
	agentMetrics    = agentIP + ":9464"
)

// programs is the directory of the built programs.
var programs string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the programs once for all tests.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "slowclient-")
	if err == nil {
		defer os.RemoveAll(dir)
		programs = dir
		cmd := exec.Command("go", "build", "-o", dir+"/", "../cmd/...")
		cmd.Stderr = os.Stderr
		err = cmd.Run()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// process is a program under test.
type process struct {
	t    *testing.T
	cmd  *exec.Cmd
	log  string
	done chan struct{}
	// maxMemory and maxDescriptors are the limits of the process.
	maxMemory      int64
	maxDescriptors int
	// ordinary sends an ordinary request and returns an error unless it is answered.
	ordinary func() error
}

// start starts a program with a settings file. The test ends it.
func start(t *testing.T, name string, settings []string, args ...string) *process {
	dir := t.TempDir()
	file := filepath.Join(dir, name+".conf")
	assert.NilError(t, os.WriteFile(file, []byte(strings.Join(settings, "\n")), 0o600))
	p := &process{t: t, log: filepath.Join(dir, name+".log"), done: make(chan struct{}), maxMemory: memoryMB * 1e6, maxDescriptors: maxDescriptors - fileDescriptors}
	log, err := os.Create(p.log)
	assert.NilError(t, err)
	p.cmd = exec.Command(filepath.Join(programs, args[0]), args[1:]...)
	p.cmd.Env = append(os.Environ(), "CYCLAMENPOINT_CONFIG="+file)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	assert.NilError(t, p.cmd.Start())
	go func() {
		defer close(p.done)
		// The test kills the program at its end, so the exit status says nothing.
		_ = p.cmd.Wait()
	}()
	t.Cleanup(func() {
		// The program may have ended already.
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.done
		_ = log.Close()
	})
	return p
}

// platformSettings returns the lines of a settings file in the platform's format.
func platformSettings(name, ip, store string, extra ...string) []string {
	return append([]string{
		"node_name=" + name, "zone=d1", "region=r1", "ip=" + ip, "internal_port_range=7340,7345",
		"provider.address=" + store, "bounds.grace_s=3", "bounds.budget_slack=1000", "bootstrap=true",
		fmt.Sprintf("limits.memory_mb=%d", memoryMB), fmt.Sprintf("limits.max_fds=%d", maxDescriptors),
	}, extra...)
}

// newStore starts a store that holds the configuration.
func newStore(t *testing.T) (*rowstore.Store, string) {
	store := rowstore.New()
	body, err := json.Marshal(map[string]any{
		"version": 1,
		"routes": []any{
			map[string]any{"name": "safe", "hostname": "h", "prefix": "/safe/", "kind": "safe", "service": "plain", "timeout_ms": 20000, "max_attempts": 2},
			map[string]any{"name": "long", "hostname": "h", "prefix": "/long/", "kind": "safe", "service": "plain", "timeout_ms": 20000, "max_attempts": 2},
		},
		"services": []any{map[string]any{"name": "plain", "max_connections": 300}},
		"tenants":  []any{map[string]any{"name": "org", "api_keys": []string{"key"}}},
		"limits":   map[string]any{"max_body_bytes": maxBodyBytes, "max_header_bytes": maxHeaderBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	assert.NilError(t, err)
	store.Put("op", "config", body)
	server := httptest.NewServer(store)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return store, strings.TrimPrefix(server.URL, "http://")
}

// startGateway starts a gateway with one endpoint and waits until it is ready.
func startGateway(t *testing.T) *process {
	store, storeAddress := newStore(t)
	e := endpoint.New("e0")
	long := []byte(strings.Repeat("x", longAnswerBytes))
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, "/long/") {
			e.ServeHTTP(w, r)
			return
		}
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Response-Seal", "seal")
		// An error means that the gateway has closed the connection.
		_, _ = w.Write(long)
	}))
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	store.Put("servers", "e0", []byte(fmt.Sprintf(`{"service":"plain","address":%q,"zone":"d1","slots":600,"state":"ready","born":1}`, strings.TrimPrefix(server.URL, "http://"))))
	p := start(t, "gateway", platformSettings("gateway-0", gatewayIP, storeAddress, "listen.front="+callerAddress, "listen.ready="+readyAddress, "listen.control="+gatewayIP+":8229"),
		"cyclamenpoint", "gateway")
	p.ordinary = func() error { return request("http://"+callerAddress+"/safe/x", "body") }
	p.waitOrdinary()
	return p
}

const (
	// demoHead is the beginning of a request of the demo's organisation.
	demoHead = "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer demo-key\r\nContent-Type: application/json\r\n"
	// demoMemory and demoDescriptors are the default limits of an entry node, with what the
	// other nodes and the stand-ins of the demo take.
	demoMemory      = 256e6 + 64e6
	demoDescriptors = 4096
)

// startDemo starts the demo and waits until it answers.
func startDemo(t *testing.T) *process {
	p := start(t, "demo", nil, "cyclamenpoint", "demo", "--listen", demoAddress)
	p.maxMemory, p.maxDescriptors = demoMemory, demoDescriptors-fileDescriptors
	p.ordinary = func() error { return request("http://"+demoAddress+"/readyz", "") }
	p.waitOrdinary()
	return p
}

// request sends a request on a connection of its own and returns an error unless the answer
// is 200.
func request(url, body string) error {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ordinaryAddress)}}
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DialContext: dialer.DialContext}}
	method := http.MethodGet
	if body != "" {
		method = http.MethodPost
	}
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Host = "h"
	req.Header.Set("X-Request-Id", "ordinary")
	req.Header.Set("X-Credential", "key")
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %s", resp.Status)
	}
	return nil
}

// waitOrdinary waits until an ordinary request is answered. Its limit only ends a test whose
// process hangs.
func (p *process) waitOrdinary() {
	p.t.Helper()
	limit := time.Now().Add(time.Minute)
	for {
		err := p.ordinary()
		if err == nil {
			return
		}
		select {
		case <-p.done:
			text, _ := os.ReadFile(p.log)
			p.t.Fatalf("process has ended: %s", tail(string(text)))
		default:
		}
		if time.Now().After(limit) {
			p.t.Fatalf("no ordinary request is answered: %v", err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// tail returns the end of a log.
func tail(text string) string { return text[max(0, len(text)-4000):] }

// peakMemory returns the largest resident memory of the process so far, in bytes.
func (p *process) peakMemory() int64 {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	assert.NilError(p.t, err, "the process has ended")
	defer file.Close()
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		if value, ok := strings.CutPrefix(scanner.Text(), "VmHWM:"); ok {
			kilobytes, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(value, "kB")), 10, 64)
			assert.NilError(p.t, err)
			return kilobytes << 10
		}
	}
	p.t.Fatal("the process has ended")
	return 0
}

// descriptors returns the number of open descriptors of the process.
func (p *process) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	assert.NilError(p.t, err, "the process has ended")
	return len(entries)
}

// settledSamples is the number of equal counts of descriptors after which a process counts as
// having accepted all connections.
const settledSamples = 5

// settledDescriptors waits until the process has accepted the connections that wait for it. It
// returns the largest number of open descriptors that was seen.
func (p *process) settledDescriptors() int {
	largest, last := 0, 0
	for equal := 0; equal < settledSamples; time.Sleep(sampleInterval) {
		n := p.descriptors()
		if n == last {
			equal++
		} else {
			equal = 0
		}
		largest, last = max(largest, n), n
	}
	return largest
}

// check fails the test unless the process lives within its limits and answers an ordinary
// request. descriptors is the largest number of open descriptors that was seen.
func (p *process) check(descriptors int) {
	p.t.Helper()
	p.waitOrdinary()
	memory := p.peakMemory()
	p.t.Logf("resident memory at most %d MB, descriptors at most %d", memory/1e6, descriptors)
	assert.Check(p.t, memory <= p.maxMemory, "%d MB of resident memory, limit %d", memory/1e6, p.maxMemory/1e6)
	assert.Check(p.t, descriptors <= p.maxDescriptors, "%d descriptors, limit %d", descriptors, p.maxDescriptors)
	select {
	case <-p.done:
		p.t.Error("the process has ended")
	default:
	}
}
