package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// process runs one of the programs. The program is restarted whenever it exits,
// until end is called.
type process struct {
	name string
	args []string
	env  []string
	log  *os.File

	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  bool
	done   chan struct{}
	starts int
}

// restartDelay is the time from a program's exit to its restart.
const restartDelay = 200 * time.Millisecond

// startProcess writes the settings to a file and starts a program with them. Its
// output goes to a log file in dir.
func startProcess(t *testing.T, dir, name string, settings []string, args ...string) *process {
	file := filepath.Join(dir, name+".conf")
	assert.NilError(t, os.WriteFile(file, []byte(strings.Join(settings, "\n")), 0o600))
	log, err := os.Create(filepath.Join(dir, name+".log"))
	assert.NilError(t, err)
	p := &process{name: name, args: args, env: append(os.Environ(), "CYCLAMENPOINT_CONFIG="+file), log: log, done: make(chan struct{})}
	go p.run()
	return p
}

// run starts the program and restarts it after each exit.
func (p *process) run() {
	defer close(p.done)
	for {
		cmd := exec.Command(p.args[0], p.args[1:]...)
		cmd.Env, cmd.Stdout, cmd.Stderr = p.env, p.log, p.log
		p.mu.Lock()
		if p.ended {
			p.mu.Unlock()
			return
		}
		err := cmd.Start()
		p.cmd = cmd
		p.starts++
		p.mu.Unlock()
		if err == nil {
			// The faults include killing programs, so the exit status says nothing.
			// Panics are found in the log.
			_ = cmd.Wait()
		}
		time.Sleep(restartDelay)
	}
}

// signal sends a signal to the program if it is running.
func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		// The program may have exited already.
		_ = p.cmd.Process.Signal(sig)
	}
}

// end kills the program and stops restarting it.
func (p *process) end() {
	p.mu.Lock()
	p.ended = true
	p.mu.Unlock()
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.done
	_ = p.log.Close()
}

// logText returns the log so far, empty if it cannot be read.
func (p *process) logText() string {
	text, err := os.ReadFile(p.log.Name())
	if err != nil {
		return ""
	}
	return string(text)
}

// crashes returns the lines of the log that report panics or fatal errors of the
// Go runtime. No injected fault may cause one.
func (p *process) crashes() []string {
	text, err := os.ReadFile(p.log.Name())
	if err != nil {
		return []string{p.name + ": " + err.Error()}
	}
	var violations []string
	for _, line := range strings.Split(string(text), "\n") {
		if strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") {
			violations = append(violations, "crash: "+p.name+": "+line)
		}
	}
	return violations
}

// buildPrograms builds the programs and returns their paths.
func buildPrograms(t *testing.T) (gateway, agent string) {
	dir := t.TempDir()
	out, err := exec.Command("go", "build", "-o", dir+"/", "../cmd/...").CombinedOutput()
	assert.NilError(t, err, string(out))
	return filepath.Join(dir, "cyclamenpoint"), filepath.Join(dir, "cyclamenpoint-agent")
}

// settingsFor returns the lines of a settings file in the platform's format.
func settingsFor(name, ip, store string, extra ...string) []string {
	return append([]string{
		"node_name=" + name, "zone=d1", "region=r1", "ip=" + ip, "internal_port_range=7340,7345",
		"provider.address=" + store, "seeds=" + fmt.Sprintf("%s:8229", gatewayIP(0)),
		"bounds.grace_s=3", "bounds.budget_slack=1000", "bootstrap=true",
	}, extra...)
}

// gatewayIP returns the loopback address of a gateway's VM.
func gatewayIP(i int) string { return fmt.Sprintf("127.77.0.%d", 10+i) }

// agentIP returns the loopback address of an agent's VM.
func agentIP(i int) string { return fmt.Sprintf("127.77.1.%d", 10+i) }
