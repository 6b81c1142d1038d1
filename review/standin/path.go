package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// pathCalm is the time from the start of the traffic to the change of the
	// configuration, pathSettle the bound within which it is in force.
	pathCalm   = 4 * time.Second
	pathSettle = 2 * time.Second
	// pathRequests is the number of requests after the change.
	pathRequests = 20
)

// playPath sends requests to routes of a host. The disruption is a new version of the
// configuration that adds a route for all other paths of the host. Its clients join that
// prefix and their own path, so that some paths begin with two slashes.
func playPath(b *testbed) bool {
	const service = "registry-app"
	routes := []object{
		{"name": "write", "hostname": hostname, "prefix": "/write/", "kind": "unsafe", "service": service, "timeout_ms": 4000, "max_attempts": 1},
	}
	services := []object{{"name": service, "health_path": "/health", "max_connections": 220}}
	b.putConfig(3, routes, services)
	w := startWorker(b.rec, b.net.ip(30), "i-7f3a91c0", service, 5*time.Millisecond)
	b.store.Put("servers", w.id, w.entry())
	g := b.machines.startGateway(0)
	newClients(b.rec, []*gateway{g}).awaitReady(15 * time.Second)
	sent := make(map[string]string)
	send := func(target string) {
		id := fmt.Sprintf("%08x", 0x9c410000+len(sent))
		sent[id] = target
		b.rec.line("sent", "request", id, "target", target)
		b.rec.line("answer", "request", id, "status", sendRaw(g.front, target, id))
	}
	for range pathRequests {
		send("/write/2f?n=1")
		time.Sleep(pathCalm / pathRequests)
	}
	if b.trouble {
		routes = append(routes, object{"name": "other", "hostname": hostname, "prefix": "/", "kind": "unsafe", "service": service, "timeout_ms": 4000, "max_attempts": 1})
		b.putConfig(8, routes, services)
		b.rec.note("configuration with a route for the prefix / written")
	}
	time.Sleep(pathSettle)
	for range pathRequests {
		send("/write/2f?n=2")
		send("/files/2f")
		send("//files/2f")
	}
	changed, runs := 0, w.allRuns()
	for _, r := range runs {
		if r.uri != sent[r.id] || r.method != http.MethodPost {
			changed++
			if changed == 1 {
				b.rec.note("changed", "request", r.id, "sent", sent[r.id], "run", r.uri)
			}
		}
	}
	b.rec.note("result", "requests", len(sent), "runs", len(runs), "runs with another target", changed)
	return changed > 0
}

// sendRaw sends a request with a target as it is, and returns the status line of the
// answer.
func sendRaw(address, target, id string) string {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err.Error()
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	head := []string{
		"POST " + target + " HTTP/1.1", "Host: " + hostname, "X-Request-Id: " + id, "X-Credential: " + key,
		"X-Deadline-Ms: 2000", "Content-Length: 2",
	}
	if _, err := io.WriteString(conn, strings.Join(head, "\r\n")+"\r\n\r\nok"); err != nil {
		return err.Error()
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err.Error()
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err.Error()
	}
	return resp.Status
}
