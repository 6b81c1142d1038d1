package main

import (
	"cmp"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// restartDelay is the time from a process's end to its restart by the platform.
const restartDelay = 200 * time.Millisecond

// process is one process of the system. The platform restarts it until end is called.
type process struct {
	w        *world
	name     string
	args     []string
	settings string
	log      *os.File

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended bool
	done  chan struct{}
}

// machine is a machine of the system and its settings.
type machine struct {
	name, class, ip string
	store           string
	seeds           string
	memoryMB, fds   int
	// linkMbps is the bandwidth of its link; zero stands for 700.
	linkMbps int
	// bootstrap is true at the first start of the whole system.
	bootstrap bool
	extra     []string
}

// Ports of all machines.
const (
	portFront   = 8227
	portReady   = 8220
	portControl = 8229
	portPeers   = 7340
	portMetrics = 9464
)

// settingsText returns the settings file of a machine, with the bounds of the users'
// deployment page.
func (m machine) settingsText() string {
	lines := []string{
		"node_name=" + m.name, "role=" + m.class, "machine_class=" + m.class, "ip=" + m.ip, "zone=zone-a", "region=region-1", "zones.zone-a=region-1",
		"internal_port_range=7340,7355", "seeds=" + m.seeds, "bootstrap=" + strconv.FormatBool(m.bootstrap),
		"limits.cpu_share=1", "limits.cpu_cores=1", "limits.memory_mb=" + strconv.Itoa(m.memoryMB), "limits.max_fds=" + strconv.Itoa(m.fds), "limits.link_mbps=" + strconv.Itoa(cmp.Or(m.linkMbps, 700)),
		"heartbeat_ms=1200", "bounds.contact_ms=3000", "bounds.drain_timeout_ms=2000", "bounds.grace_s=8", "bounds.lost_ms=200",
		"bounds.config_propagation_ms=2000", "bounds.rollback_slack_ms=250", "bounds.outer_bound_ms=5000", "bounds.fail_closed=false", "bounds.revoke_ms=5000",
		"bounds.retry_budget_ratio=0.2", "bounds.budget_window_s=10", "bounds.budget_slack=188", "bounds.recovery_s=12", "bounds.stall_ms=1500", "bounds.fencing_enforced=true",
		"provider.address=" + m.store, "provider.form=table",
	}
	if m.class == "edge" {
		lines = append(lines, "serves=edge,control_plane",
			fmt.Sprintf("listen.front=%s:%d", m.ip, portFront), fmt.Sprintf("listen.ready=%s:%d", m.ip, portReady), fmt.Sprintf("listen.control=%s:%d", m.ip, portControl))
	}
	return strings.Join(append(lines, m.extra...), "\n") + "\n"
}

// start starts a program of the deploy file on a machine.
func (w *world) start(m machine, args ...string) (*process, error) {
	p := &process{w: w, name: m.name, args: args, settings: filepath.Join(w.dir, m.name+".conf"), done: make(chan struct{})}
	if err := os.WriteFile(p.settings, []byte(m.settingsText()), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(w.dir, m.name+".log"))
	if err != nil {
		return nil, err
	}
	p.log = log
	w.mu.Lock()
	w.processes = append(w.processes, p)
	w.mu.Unlock()
	go p.run()
	return p, nil
}

func (p *process) run() {
	defer close(p.done)
	// The process ends with the thread that started it, so that none is left if this one is
	// killed.
	runtime.LockOSThread()
	for {
		cmd := exec.Command(p.args[0], p.args[1:]...)
		cmd.Env = []string{"CYCLAMENPOINT_CONFIG=" + p.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
		cmd.Stdout, cmd.Stderr = p.log, p.log
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		p.mu.Lock()
		if p.ended {
			p.mu.Unlock()
			return
		}
		err := cmd.Start()
		p.cmd = cmd
		p.mu.Unlock()
		if err == nil {
			p.w.note("%s starts", p.name)
			err = cmd.Wait()
			p.w.note("%s ends: %v", p.name, err)
		}
		time.Sleep(restartDelay)
	}
}

// signal sends a signal to the process.
func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		// The process may have ended.
		_ = p.cmd.Process.Signal(sig)
	}
}

// end kills the process for good.
func (p *process) end() {
	p.mu.Lock()
	p.ended = true
	p.mu.Unlock()
	p.signal(syscall.SIGKILL)
	<-p.done
	_ = p.log.Close()
}

// readyTimeout bounds the start of a gateway.
const readyTimeout = 20 * time.Second

// awaitReady waits until a gateway reports itself ready.
func awaitReady(ip string) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	end := time.Now().Add(readyTimeout)
	for time.Now().Before(end) {
		resp, err := client.Get("http://" + net.JoinHostPort(ip, strconv.Itoa(portReady)) + "/v1/ready")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("gateway at %s is not ready after %s", ip, readyTimeout)
}
