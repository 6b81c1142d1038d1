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

// process is one of the real programs. It is restarted whenever it ends, until
// the test does.
type process struct {
	name string
	args []string
	env  []string
	log  *os.File

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool
	done    chan struct{}
	starts  int
}

// restartPause is how long a process that ended stays away.
const restartPause = 200 * time.Millisecond

// startProcess starts a program with its settings in a file.
func startProcess(t *testing.T, dir, name string, settings []string, args ...string) *process {
	file := filepath.Join(dir, name+".conf")
	assert.NilError(t, os.WriteFile(file, []byte(strings.Join(settings, "\n")), 0o600))
	log, err := os.Create(filepath.Join(dir, name+".log"))
	assert.NilError(t, err)
	p := &process{name: name, args: args, env: append(os.Environ(), "CYCLAMENPOINT_CONFIG="+file), log: log, done: make(chan struct{})}
	go p.keep()
	return p
}

// keep runs the program again and again.
func (p *process) keep() {
	defer close(p.done)
	for {
		cmd := exec.Command(p.args[0], p.args[1:]...)
		cmd.Env, cmd.Stdout, cmd.Stderr = p.env, p.log, p.log
		p.mu.Lock()
		if p.stopped {
			p.mu.Unlock()
			return
		}
		err := cmd.Start()
		p.cmd = cmd
		p.starts++
		p.mu.Unlock()
		if err == nil {
			// How a process ends is the plan's doing, or shows in its log.
			_ = cmd.Wait()
		}
		time.Sleep(restartPause)
	}
}

// signal sends a signal to the process if it runs.
func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		// One that has just ended needs no signal.
		_ = p.cmd.Process.Signal(sig)
	}
}

// end kills the process for good.
func (p *process) end() {
	p.mu.Lock()
	p.stopped = true
	p.mu.Unlock()
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.done
	_ = p.log.Close()
}

// crashes returns the log's lines on panics: no fault from outside causes one.
func (p *process) crashes() []string {
	text, err := os.ReadFile(p.log.Name())
	if err != nil {
		return []string{p.name + ": " + err.Error()}
	}
	var found []string
	for _, line := range strings.Split(string(text), "\n") {
		if strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") {
			found = append(found, "crash: "+p.name+": "+line)
		}
	}
	return found
}

// programs builds the two programs.
func programs(t *testing.T) (gateway, agent string) {
	dir := t.TempDir()
	out, err := exec.Command("go", "build", "-o", dir+"/", "../cmd/...").CombinedOutput()
	assert.NilError(t, err, string(out))
	return filepath.Join(dir, "cyclamenpoint"), filepath.Join(dir, "cyclamenpoint-agent")
}

// settingsFor is a settings file in the platform's form.
func settingsFor(name, ip, store string, more ...string) []string {
	return append([]string{
		"node_name=" + name, "zone=d1", "region=r1", "ip=" + ip, "internal_port_range=7340,7345",
		"provider.address=" + store, "seeds=" + fmt.Sprintf("%s:8229", gatewayIP(0)),
		"bounds.grace_s=3", "bounds.budget_slack=1000", "bootstrap=true",
	}, more...)
}

// gatewayIP and agentIP are the loopback addresses of the processes' VMs.
func gatewayIP(i int) string { return fmt.Sprintf("127.77.0.%d", 10+i) }
func agentIP(i int) string   { return fmt.Sprintf("127.77.1.%d", 10+i) }
