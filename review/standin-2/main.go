// Command standin-2 runs one case of the second review: it starts the project's programs as
// processes on loopback addresses, plays the clients, the servers and the platform, and
// checks one rule by what these have seen.
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	// summary is the last line of the record.
	summary string
}

// cases maps the names of the cases to their functions.
var cases = map[string]func(*world) (verdict, error){
	"leaving": runLeaving,
	"tenants": runTenants,
	"moved":   runMoved,
	"memory":  runMemory,
	"crowd":   runCrowd,
	"parts":   runParts,
	"report":  runReport,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	out := flag.String("record", "record.txt", "file for what was sent, answered and run")
	gateway := flag.String("gateway", "", "path of the entry node's program")
	agent := flag.String("agent", "", "path of the agent's program")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case:", *name)
		return exitNotRun
	}
	w, err := newWorld(*out, *gateway, *agent, *trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, os.Interrupt)
	type result struct {
		verdict verdict
		err     error
	}
	done := make(chan result, 1)
	go func() {
		v, err := play(w)
		done <- result{v, err}
	}()
	select {
	case r := <-done:
		if r.err != nil {
			w.note("not run: %v", r.err)
			return exitNotRun
		}
		w.note("%s", r.verdict.summary)
		fmt.Println(r.verdict.summary)
		if r.verdict.broken {
			return exitBroken
		}
		return exitHeld
	case <-stopped:
		return exitNotRun
	case <-time.After(caseTimeout):
		w.note("not run: time is over")
		return exitNotRun
	}
}

// caseTimeout bounds a case, with what it takes to end the processes.
const caseTimeout = 110 * time.Second

// world is what a case runs in.
type world struct {
	gateway, agent string
	trouble        bool
	dir            string
	began          time.Time

	mu        sync.Mutex
	record    *os.File
	processes []*process
	closers   []func()
	// net is the second byte of the loopback addresses of this run.
	net int
}

func newWorld(record, gateway, agent string, trouble bool) (*world, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{gateway: gateway, agent: agent, trouble: trouble, dir: dir, began: time.Now(), record: file}
	if w.net = freeNet(w); w.net == 0 {
		return nil, errors.New("no loopback addresses with free ports")
	}
	w.note("disruption: %v", trouble)
	return w, nil
}

// freeNet returns the second byte of loopback addresses at which the ports of the machines are
// free, zero if there is none.
func freeNet(w *world) int {
	for i := range 128 {
		w.net = 64 + (os.Getpid()+i)%128
		if portsFree(w.ip(1, 0)) && portsFree(w.ip(1, 1)) {
			return w.net
		}
	}
	return 0
}

func portsFree(ip string) bool {
	for _, port := range []int{portFront, portReady, portControl, portPeers, portMetrics} {
		listener, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// ip returns a loopback address of this run. Group separates machines of different kinds.
func (w *world) ip(group, n int) string { return fmt.Sprintf("127.%d.%d.%d", w.net, group, 1+n) }

// note appends a line to the record.
func (w *world) note(format string, args ...any) {
	w.noteAt(time.Now(), format, args...)
}

func (w *world) noteAt(at time.Time, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	// A record that cannot be written leaves the verdict as it is.
	_, _ = fmt.Fprintf(w.record, "%9.3f %s\n", at.Sub(w.began).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) onClose(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closers = append(w.closers, f)
}

// close ends all processes and removes the temporary files.
func (w *world) close() {
	w.mu.Lock()
	processes, closers := w.processes, w.closers
	w.mu.Unlock()
	for _, p := range processes {
		p.end()
	}
	for _, f := range closers {
		f()
	}
	_ = w.record.Close()
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, p := range processes {
			_ = os.Rename(filepath.Join(w.dir, p.name+".log"), filepath.Join(keep, p.name+".log"))
		}
	}
	_ = os.RemoveAll(w.dir)
}
