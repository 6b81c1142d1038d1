package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// network assigns loopback addresses to the machines of one run.
type network struct{ second, third int }

func newNetwork() network { return network{second: 64 + rand.IntN(150), third: rand.IntN(250)} }

// ip returns the address of machine number n.
func (n network) ip(number int) string { return fmt.Sprintf("127.%d.%d.%d", n.second, n.third, number) }

// listen opens a listener on a free port of a machine.
func listen(ip string) net.Listener {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		cannotRun("listen: " + err.Error())
	}
	return l
}

// freeAddress returns an address of a machine with a port that is free now.
func freeAddress(ip string) string {
	l := listen(ip)
	defer l.Close()
	return l.Addr().String()
}

// process is one of the project's programs, started again after each end until
// it is stopped for good.
type process struct {
	name string
	args []string
	env  []string
	log  *os.File
	// file is the settings file, settings its first content.
	file, settings string

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended bool
	// downUntil is the time before which the program is not started again.
	downUntil time.Time
	starts    int
	done      chan struct{}
}

// restartDelay is the time from the end of a program to its next start.
const restartDelay = 200 * time.Millisecond

// machines starts the project's programs and ends them.
type machines struct {
	root, dir string
	net       network
	store     string
	seed      string
	all       []*process
}

func newMachines(root string, net network, store string) *machines {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		cannotRun(err.Error())
	}
	return &machines{root: root, dir: dir, net: net, store: store, seed: net.ip(10) + ":8229"}
}

// firstPort is the first of the ports for the system's own traffic.
const firstPort = 7340

// settings returns the settings that all machines have.
func (m *machines) settings(name, ip, class string) []string {
	return []string{
		"node_name=" + name, "role=" + class, "machine_class=" + class, "serves=" + class, "ip=" + ip,
		"zone=zone-a", "region=region-1", "zones.zone-a=region-1",
		"internal_port_range=" + strconv.Itoa(firstPort) + "," + strconv.Itoa(firstPort+15), "seeds=" + m.seed, "bootstrap=true",
		"limits.cpu_share=0.208", "limits.cpu_cores=1", "limits.memory_mb=206", "limits.max_fds=2870", "limits.link_mbps=700.0",
		"discovery=platform", "entry=vip", "heartbeat_ms=1200",
		"bounds.contact_ms=3000", "bounds.ack_timeout_ms=4000", "bounds.drain_timeout_ms=2000", "bounds.grace_s=8",
		"bounds.config_propagation_ms=2000", "bounds.retry_budget_ratio=0.2", "bounds.budget_window_s=10", "bounds.budget_slack=188",
		"bounds.recovery_s=12", "bounds.stall_ms=1500", "bounds.fencing_enforced=true",
		"provider.address=" + m.store, "provider.form=table", "provider.history_s=20",
	}
}

// gateway is an entry machine.
type gateway struct {
	*process
	front, ready string
}

// startGateway starts an entry machine with the command of the deploy file.
func (m *machines) startGateway(number int) *gateway {
	ip := m.net.ip(10 + number)
	g := &gateway{front: freeAddress(ip), ready: freeAddress(ip)}
	name := fmt.Sprintf("edge-%d", number)
	g.process = m.start(name, append(m.settings(name, ip, "edge"), "listen.front="+g.front, "listen.ready="+g.ready, "listen.control="+ip+":8229"),
		"target/cyclamenpoint", "gateway")
	return g
}

// startAgent starts a machine beside a model worker with the command of the deploy
// file.
func (m *machines) startAgent(number int, ip, app, service string) *process {
	name := fmt.Sprintf("side-%d", number)
	return m.start(name, append(m.settings(name, ip, "side"), "app="+app, "service="+service), "target/cyclamenpoint-agent", "--platform")
}

func (m *machines) start(name string, settings []string, args ...string) *process {
	file := filepath.Join(m.dir, name+".conf")
	text := strings.Join(settings, "\n") + "\n"
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		cannotRun(err.Error())
	}
	log, err := os.Create(filepath.Join(m.dir, name+".log"))
	if err != nil {
		cannotRun(err.Error())
	}
	args[0] = filepath.Join(m.root, args[0])
	if _, err := os.Stat(args[0]); err != nil {
		cannotRun("the deploy file's build is missing: " + err.Error())
	}
	p := &process{name: name, args: args, env: []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CYCLAMENPOINT_CONFIG=" + file}, log: log, file: file, settings: text, done: make(chan struct{})}
	m.all = append(m.all, p)
	go p.run()
	return p
}

func (p *process) run() {
	defer close(p.done)
	for {
		p.mu.Lock()
		if p.ended {
			p.mu.Unlock()
			return
		}
		if wait := time.Until(p.downUntil); wait > 0 {
			p.mu.Unlock()
			time.Sleep(min(wait, 10*time.Millisecond))
			continue
		}
		cmd := exec.Command(p.args[0], p.args[1:]...)
		cmd.Env, cmd.Stdout, cmd.Stderr = p.env, p.log, p.log
		err := cmd.Start()
		p.cmd = cmd
		p.starts++
		p.mu.Unlock()
		if err != nil {
			cannotRun(err.Error())
		}
		_ = cmd.Wait()
		p.mu.Lock()
		if until := time.Now().Add(restartDelay); until.After(p.downUntil) {
			p.downUntil = until
		}
		p.mu.Unlock()
	}
}

// kill kills programs. They start again after down, with settings that say so.
func kill(down time.Duration, programs ...*process) {
	for _, p := range programs {
		p.mu.Lock()
		p.downUntil = time.Now().Add(down)
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Kill()
		}
		p.mu.Unlock()
	}
	for _, p := range programs {
		settings := strings.Replace(p.settings, "bootstrap=true", "bootstrap=false", 1)
		if err := os.WriteFile(p.file, []byte(settings), 0o600); err != nil {
			cannotRun(err.Error())
		}
	}
}

// signal sends a signal to the program.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// end ends all programs and removes their files, unless KEEP_LOGS names a folder
// to copy them to.
func (m *machines) end() {
	for _, p := range m.all {
		p.mu.Lock()
		p.ended = true
		p.mu.Unlock()
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
	}
	for _, p := range m.all {
		<-p.done
		_ = p.log.Close()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(m.dir))
	}
	_ = os.RemoveAll(m.dir)
}
