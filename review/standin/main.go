// Command standin plays the cases of the review that cannot be put as days. It is
// the platform, the workers and the clients of a small deployment on loopback
// addresses, starts the project's programs as processes, and checks one rule.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not
// run.
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/standin/rowstore"
)

// runLimit ends a run that takes too long.
const runLimit = 110 * time.Second

// testbed is what all cases share.
type testbed struct {
	rec      *record
	net      network
	store    *rowstore.Store
	machines *machines
	trouble  bool
}

// bed is the testbed of the run.
var bed *testbed

// cannotRun ends the run without a result.
func cannotRun(reason string) {
	fmt.Fprintln(os.Stderr, "cannot run:", reason)
	finish(2)
}

// finish ends all processes and exits.
func finish(status int) {
	if bed != nil {
		if bed.machines != nil {
			bed.machines.end()
		}
		bed.rec.line("exit", "status", status)
		bed.rec.close()
	}
	os.Exit(status)
}

func main() {
	cases := map[string]func(*testbed) bool{"recover": playRecover, "drain": playDrain, "path": playPath, "leader": playLeader, "outage": playOutage, "poison": playPoison}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT RECORD")
		os.Exit(2)
	}
	rec := newRecord(os.Args[3])
	bed = &testbed{rec: rec, net: newNetwork(), store: rowstore.New(), trouble: os.Getenv("TROUBLE") != "0"}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		select {
		case <-signals:
			cannotRun("stopped by a signal")
		case <-time.After(runLimit):
			cannotRun("took too long")
		}
	}()
	l := listen(bed.net.ip(2))
	go func() { _ = (&http.Server{Handler: bed.store}).Serve(l) }()
	bed.machines = newMachines(os.Args[2], bed.net, l.Addr().String())
	rec.line("start", "case", os.Args[1], "trouble", bed.trouble)
	if broken := cases[os.Args[1]](bed); broken {
		fmt.Println("the rule was broken")
		finish(1)
	}
	fmt.Println("the rule held")
	finish(0)
}

// routes and services of a configuration.
type object = map[string]any

// putConfig writes a configuration to the store.
func (b *testbed) putConfig(version int, routes, services []object) {
	text, err := json.Marshal(object{
		"version": version, "routes": routes, "services": services,
		"limits":  object{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
		"tenants": []object{{"name": tenant, "api_keys": []string{key}}},
	})
	if err != nil {
		cannotRun(err.Error())
	}
	b.store.Put("op", "config", text)
	b.rec.line("configuration", "version", version)
}
