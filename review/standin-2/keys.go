package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"
)

// propagation is the bound of the users' pages for a new configuration, as in the settings.
const propagation = 2000 * time.Millisecond

const (
	heldKey = "n2ctnfzs989anu6wsjnb"
	// strangeKey is a key that no configuration ever holds.
	strangeKey = "zz0000000000neverheld"
	// keyInterval is the time between two requests, keyTime the time for which they are
	// sent before and after the change of the configuration.
	keyInterval = 100 * time.Millisecond
	keyTime     = 8 * time.Second
)

// tenant returns an entry of the configuration's list of tenants.
func tenant(name string, keys ...string) map[string]any {
	return map[string]any{"name": name, "api_keys": append([]string{}, keys...)}
}

// desk is a deployment of one gateway and two servers whose route needs a key.
type desk struct {
	w       *world
	store   *platformStore
	machine machine
	gateway *process
	servers []*server
	// byKey sends requests with each key.
	byKey map[string]*clients
}

func (w *world) startDesk() (*desk, error) {
	s, err := w.startStore()
	if err != nil {
		return nil, err
	}
	d := &desk{w: w, store: s, byKey: make(map[string]*clients)}
	if err := s.putJSON("op", "config", deskConfig(3, []any{tenant("kiosk", heldKey)})); err != nil {
		return nil, err
	}
	w.note("configuration 3: tenant kiosk with one key")
	for i := range 2 {
		one, err := w.startServer(s, fmt.Sprintf("i-desk-%d", i+1), "desk", w.ip(2, i), 15*time.Millisecond)
		if err != nil {
			return nil, err
		}
		d.servers = append(d.servers, one)
	}
	ip := w.ip(1, 0)
	d.machine = machine{name: "edge-1", class: "edge", ip: ip, store: s.address, seeds: fmt.Sprintf("%s:%d", ip, portControl), memoryMB: 206, fds: 2870, bootstrap: true}
	if d.gateway, err = w.start(d.machine, w.gateway, "gateway"); err != nil {
		return nil, err
	}
	for name, key := range map[string]string{"k": heldKey, "z": strangeKey} {
		d.byKey[key] = &clients{w: w, host: "desk.example", path: "/orders/new", method: "POST", timeout: 4 * time.Second, prefix: name, header: map[string]string{"X-Credential": key}}
	}
	return d, awaitReady(ip)
}

// traffic sends requests with both keys for some time.
func (d *desk) traffic(within time.Duration) {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(keyInterval) {
		for _, c := range d.byKey {
			c.batch(d.machine.ip, 1)
		}
	}
}

// runsAfter returns how many requests with a key were run of those sent later than
// propagation after a configuration was acknowledged, and the largest such time.
func (d *desk) runsAfter(key string, acknowledged time.Time) (runs int, last time.Duration) {
	for _, s := range d.servers {
		for _, a := range s.all() {
			q, ok := d.byKey[key].find(a.id)
			if after := q.at.Sub(acknowledged); ok && after > propagation {
				runs++
				last = max(last, after)
				d.w.noteAt(a.at, "%s runs %s, which was sent %d ms after the acknowledgement and whose key is not held", s.id, q.id, after.Milliseconds())
			}
		}
	}
	return runs, last
}

// runTenants removes the only tenant of a deployment.
//
// ROUTE: no request runs whose key no configuration ever held.
func runTenants(w *world) (verdict, error) {
	d, err := w.startDesk()
	if err != nil {
		return verdict{}, err
	}
	d.traffic(keyTime)
	// Without the disruption the tenant loses its keys, but stays.
	tenants := []any{tenant("kiosk")}
	if w.trouble {
		tenants = []any{}
	}
	if err := d.store.putJSON("op", "config", deskConfig(4, tenants)); err != nil {
		return verdict{}, err
	}
	acknowledged := time.Now()
	w.noteAt(acknowledged, "configuration 4 is acknowledged: tenants %v", tenants)
	d.traffic(keyTime)
	for _, c := range d.byKey {
		c.wait()
	}
	strange, _ := d.runsAfter(strangeKey, acknowledged)
	dropped, _ := d.runsAfter(heldKey, acknowledged)
	if strange+dropped == 0 {
		return verdict{summary: "held: no request ran whose key was not held"}, nil
	}
	return verdict{broken: true, summary: fmt.Sprintf("broken: ROUTE: %d requests ran whose key no configuration ever held; %d ran with the dropped key", strange, dropped)}, nil
}

// runMoved moves the store to another address, which the settings file names, with SIGHUP.
//
// CONFIG: no request that is sent later than propagation after the acknowledgement of a
// configuration is run with a key that it has dropped.
func runMoved(w *world) (verdict, error) {
	d, err := w.startDesk()
	if err != nil {
		return verdict{}, err
	}
	d.traffic(keyTime)
	if w.trouble {
		if err := d.moveStore(); err != nil {
			return verdict{}, err
		}
	}
	// All machines are in touch again before the change.
	d.traffic(2 * contact)
	if err := d.store.putJSON("op", "config", deskConfig(4, []any{tenant("kiosk", "q7wkd0f3h1n5s8v2b4x6")})); err != nil {
		return verdict{}, err
	}
	acknowledged := time.Now()
	w.noteAt(acknowledged, "configuration 4 is acknowledged: the key of tenant kiosk is replaced")
	d.traffic(keyTime)
	for _, c := range d.byKey {
		c.wait()
	}
	dropped, last := d.runsAfter(heldKey, acknowledged)
	if dropped == 0 {
		return verdict{summary: "held: no request ran with the dropped key"}, nil
	}
	return verdict{broken: true, summary: fmt.Sprintf("broken: CONFIG: %d requests ran with a dropped key, up to %d ms after the acknowledgement", dropped, last.Milliseconds())}, nil
}

// moveStore makes the store reachable at another address, writes that into the settings file
// and sends SIGHUP.
func (d *desk) moveStore() error {
	listener, err := net.Listen("tcp", d.w.ip(0, 1)+":0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: d.store.Store}
	go func() { _ = server.Serve(listener) }()
	d.w.onClose(func() { _ = server.Close() })
	d.machine.store, d.machine.bootstrap = listener.Addr().String(), false
	if err := os.WriteFile(d.gateway.settings, []byte(d.machine.settingsText()), 0o600); err != nil {
		return err
	}
	d.gateway.signal(syscall.SIGHUP)
	d.store.end()
	d.w.note("the store is at %s now; the settings file names it, and SIGHUP is sent", d.machine.store)
	return nil
}
