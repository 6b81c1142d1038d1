package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	memoryMachines = 2
	// smallMB is the memory of the smallest edge machine of the users' sheets, and edgeMB
	// that of an edge machine of zilina-medreg. Both have memoryFDs descriptors.
	smallMB   = 136
	edgeMB    = 206
	memoryFDs = 2870
	// engineCount is the number of model workers, of 12 slots each.
	engineCount = 16
	// streamRate is the number of streams a second at both machines together while many users
	// come: 74.5 of the sheet times 1.7. They come for burstTime, bursts times.
	streamRate = 126
	bursts     = 4
	burstTime  = 3 * time.Second
	burstPause = 8 * time.Second
	// patience is the time after which a client gives up a stream without an event.
	patience = 2 * time.Second
	// headBytes is the part of an endless head that a worker sends at once. Then it sends a
	// line each headPause until the caller closes.
	headBytes = 54000
	headPause = 50 * time.Millisecond
)

// engine is a model worker. In trouble, it sends a head without end.
type engine struct {
	w       *world
	id      string
	trouble bool
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if r.Header.Get("X-Expect-Instance") != e.id {
		w.Header().Set("X-Request-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.w.note("worker %s runs %s", e.id, id)
	if e.trouble {
		e.endless(w)
		return
	}
	h := w.Header()
	h.Set("X-Request-Id", id)
	h.Set("X-Response-Seal", e.id+"."+id)
	h.Set("Content-Type", "text/event-stream")
	for event := 1; event <= 20; event++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", event, event); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// endless sends a head without end until the caller closes.
func (e *engine) endless(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	var head strings.Builder
	head.WriteString("HTTP/1.1 200 OK\r\n")
	line := func(n int) string { return strconv.FormatInt(int64(n), 36) + ":\r\n" }
	n := 1
	for ; head.Len() < headBytes; n++ {
		head.WriteString(line(n))
	}
	if _, err := io.WriteString(conn, head.String()); err != nil {
		return
	}
	for ; ; n++ {
		time.Sleep(headPause)
		if _, err := io.WriteString(conn, line(n)); err != nil {
			return
		}
	}
}

// guard is the platform's limit on the memory of a process: it kills a process that exceeds
// it.
type guard struct {
	process *process
	limitMB int64
	peak    int64
	kills   int
}

// watch applies the limit until the channel is closed.
func (g *guard) watch(w *world, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		pid := g.process.pid()
		resident := residentBytes(pid)
		g.peak = max(g.peak, resident)
		if resident <= g.limitMB*1e6 {
			continue
		}
		g.kills++
		w.note("%s has %d MB, more than the %d MB of its machine: killed by the platform", g.process.name, resident/1e6, g.limitMB)
		g.process.signal(syscall.SIGKILL)
		for g.process.pid() == pid {
			time.Sleep(time.Millisecond)
		}
	}
}

// runMemory lets model workers in trouble answer with heads without end while many users
// come at once.
//
// Fault: processes do not end by themselves three times on two machines; memory over the
// limit counts.
func runMemory(w *world) (verdict, error) {
	s, err := w.startStore()
	if err != nil {
		return verdict{}, err
	}
	cfg := deskConfig(3, nil)
	cfg["routes"] = append(cfg["routes"].([]any), map[string]any{
		"name": "drafts", "hostname": "desk.example", "prefix": "/drafts/", "kind": "streaming", "resumable": true, "target_latency_ms": 400, "target_gap_ms": 120,
		"timeout_ms": 8000, "priority": 1, "max_attempts": 2, "allow_anonymous": true, "service": "drafting",
	})
	cfg["services"] = append(cfg["services"].([]any), map[string]any{"name": "drafting", "health_path": "/health", "max_connections": 516})
	if err := s.putJSON("op", "config", cfg); err != nil {
		return verdict{}, err
	}
	for i := range 2 {
		if _, err := w.startServer(s, fmt.Sprintf("i-desk-%d", i+1), "desk", w.ip(2, i), 200*time.Millisecond); err != nil {
			return verdict{}, err
		}
	}
	if err := w.startEngines(s); err != nil {
		return verdict{}, err
	}
	ips, guards, err := w.startEdges(s, smallMB, 28)
	if err != nil {
		return verdict{}, err
	}
	orders, cut := playBursts(w, ips, guards)
	return judgeMemory(w, guards, orders, cut), nil
}

// startEngines starts the model workers.
func (w *world) startEngines(s *platformStore) error {
	for i := range engineCount {
		listener, err := net.Listen("tcp", w.ip(4, i)+":0")
		if err != nil {
			return err
		}
		e := &engine{w: w, id: fmt.Sprintf("i-drafting-%d", i+1), trouble: w.trouble}
		server := &http.Server{Handler: e}
		go func() { _ = server.Serve(listener) }()
		w.onClose(func() { _ = server.Close() })
		if err := s.putJSON("servers", e.id, serverRow("drafting", listener.Addr().String(), "ready", time.Now())); err != nil {
			return err
		}
	}
	return nil
}

// playBursts sends the bursts of streams and, beside them, orders to a sound service. It
// returns the number of orders, and of those whose connection ended without an answer.
func playBursts(w *world, ips []string, guards []*guard) (orders, cut int) {
	stop := make(chan struct{})
	var background sync.WaitGroup
	for _, g := range guards {
		background.Go(func() { g.watch(w, stop) })
	}
	c := &clients{w: w, host: "desk.example", path: "/orders/new", method: "POST", timeout: 4 * time.Second, prefix: "q"}
	background.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
				c.batch(ips[i%len(ips)], 1)
			}
		}
	})
	for burst := range bursts {
		time.Sleep(burstPause)
		w.note("burst %d: %d streams a second", burst+1, streamRate)
		var streams sync.WaitGroup
		var events atomic.Int64
		count := int(streamRate * burstTime.Seconds())
		for i := range count {
			ip := ips[i%len(ips)]
			streams.Go(func() { events.Add(int64(w.draft(ip, fmt.Sprintf("s%d-%d", burst, i)))) })
			time.Sleep(burstTime / time.Duration(count))
		}
		streams.Wait()
		w.note("burst %d: the clients of %d streams got %d events", burst+1, count, events.Load())
	}
	time.Sleep(time.Second)
	close(stop)
	background.Wait()
	c.wait()
	return c.count()
}

// draft requests a stream and reads it until it ends or pauses for longer than the client's
// patience. It returns the number of events.
func (w *world) draft(ip, id string) int {
	w.note("client sends %s to %s", id, ip)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	gap := time.AfterFunc(patience, cancel)
	defer gap.Stop()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	url := "http://" + net.JoinHostPort(ip, strconv.Itoa(portFront)) + "/drafts/x"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("{\"prompt\":\""+id+"\"}"))
	if err != nil {
		return 0
	}
	req.Host = "desk.example"
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", "8000")
	resp, err := client.Do(req)
	if err != nil {
		w.note("client gets for %s: %v", id, err)
		return 0
	}
	defer resp.Body.Close()
	events := 0
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		if strings.HasPrefix(lines.Text(), "data:") {
			events++
			gap.Reset(patience)
		}
	}
	w.note("client gets for %s: %d, %d events", id, resp.StatusCode, events)
	return events
}

// judgeMemory applies Fault to the machines.
func judgeMemory(w *world, guards []*guard, orders, cut int) verdict {
	broken := true
	var seen []string
	for _, g := range guards {
		broken = broken && g.kills >= 3
		seen = append(seen, fmt.Sprintf("%s: %d kills, at most %d MB", g.process.name, g.kills, g.peak/1e6))
	}
	summary := fmt.Sprintf("%s; %d of %d orders to the sound service ended without an answer", strings.Join(seen, "; "), cut, orders)
	if broken {
		return verdict{broken: true, summary: "broken: Fault: " + summary}
	}
	return verdict{summary: "held: " + summary}
}

// residentBytes returns the memory of a process, zero if it has ended.
func residentBytes(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			if err == nil {
				return kb << 10
			}
		}
	}
	return 0
}

// pid returns the id of the process, zero if it does not run.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil || p.cmd.ProcessState != nil {
		return 0
	}
	return p.cmd.Process.Pid
}
