package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// request is one client attempt.
type request struct {
	id, method, path, kind string
	body                   string
	// prefix lists the parts of the prompt; empty for parts of the request's own.
	prefix          string
	deadline        time.Duration
	sentAt, endedAt time.Duration
	// status is that of the answer, 0 without one. complete is true if the answer
	// came to its end, sealed if it bears a worker's seal.
	status           int
	complete, sealed bool
	events           int
	failure          string
	gateway          string
}

func (r *request) served() bool { return r.status == http.StatusOK && r.complete && r.sealed }

// clients sends requests to the entry machines that are ready.
type clients struct {
	rec      *record
	gateways []*gateway
	http     *http.Client
	next     atomic.Int64
	wg       sync.WaitGroup

	mu   sync.Mutex
	sent []*request
}

func newClients(rec *record, gateways []*gateway) *clients {
	return &clients{rec: rec, gateways: gateways, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32, IdleConnTimeout: 20 * time.Second, DisableCompression: true}}}
}

// isReady asks an entry machine as the platform does.
func isReady(g *gateway) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.ready+"/v1/ready", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all entry machines are ready.
func (c *clients) awaitReady(limit time.Duration) {
	until := time.Now().Add(limit)
	for _, g := range c.gateways {
		for !isReady(g) {
			if time.Now().After(until) {
				cannotRun(g.name + " is not ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// hostname is the Host of all requests, key a key of the only tenant.
const (
	hostname = "registry.example"
	key      = "n2ctnfzs989anu6wsjnb"
	tenant   = "hule930"
)

// send sends a request in the background.
func (c *clients) send(r *request) {
	n := c.next.Add(1)
	r.id = fmt.Sprintf("%08x", 0x9c410000+n)
	g := c.gateways[int(n)%len(c.gateways)]
	r.gateway = g.name
	c.mu.Lock()
	c.sent = append(c.sent, r)
	c.mu.Unlock()
	c.wg.Go(func() { c.do(r, g) })
}

func (c *clients) do(r *request, g *gateway) {
	ctx, cancel := context.WithTimeout(context.Background(), r.deadline)
	defer cancel()
	defer func() {
		r.endedAt = c.rec.now()
		c.rec.line("answer", "request", r.id, "status", r.status, "complete", r.complete, "sealed", r.sealed, "events", r.events, "failure", strconv.Quote(r.failure))
	}()
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+g.front+r.path, strings.NewReader(r.body))
	if err != nil {
		r.failure = err.Error()
		return
	}
	req.GetBody = nil
	req.Host = hostname
	req.Header.Set("X-Request-Id", r.id)
	req.Header.Set("X-Credential", key)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(r.deadline.Milliseconds(), 10))
	if r.kind == "streaming" {
		req.Header.Set("X-Model", "m")
		req.Header.Set("X-Token-Usage", "400,60")
		if r.prefix == "" {
			r.prefix = "5c1e07a2:40," + r.id + ":360"
		}
		req.Header.Set("X-Prompt-Prefix", r.prefix)
	}
	r.sentAt = c.rec.now()
	c.rec.line("sent", "request", r.id, "kind", r.kind, "method", r.method, "path", r.path, "to", g.name)
	resp, err := c.http.Do(req)
	if err != nil {
		r.failure = err.Error()
		return
	}
	defer resp.Body.Close()
	r.status, r.sealed = resp.StatusCode, resp.Header.Get("X-Response-Seal") != ""
	if r.kind == "streaming" && r.status == http.StatusOK {
		r.readEvents(resp.Body)
		return
	}
	_, err = io.Copy(io.Discard, resp.Body)
	if err != nil {
		r.failure = err.Error()
	}
	r.complete = err == nil
}

func (r *request) readEvents(body io.Reader) {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id: ") {
			r.events++
		}
	}
	if err := lines.Err(); err != nil {
		r.failure = err.Error()
	}
	r.complete = lines.Err() == nil && r.events == streamEvents
}

// all returns the requests sent so far, once they have ended.
func (c *clients) all() []*request {
	c.wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent
}
