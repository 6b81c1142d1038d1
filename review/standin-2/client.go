package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// sent is a request as its client has seen it.
type sent struct {
	id     string
	at     time.Time
	ended  time.Time
	status int
	// failure is why there is no complete answer; empty if there is one.
	failure string
	body    string
}

// clients send requests to gateways, each on a connection of its own.
type clients struct {
	w       *world
	host    string
	path    string
	method  string
	header  map[string]string
	timeout time.Duration
	prefix  string

	next atomic.Int64
	open sync.WaitGroup
	mu   sync.Mutex
	all  map[string]*sent
}

// send sends one request to a gateway and waits for its answer.
func (c *clients) send(ip string, header map[string]string) {
	q := &sent{id: fmt.Sprintf("%s%06d", c.prefix, c.next.Add(1)), at: time.Now()}
	c.mu.Lock()
	if c.all == nil {
		c.all = make(map[string]*sent)
	}
	c.all[q.id] = q
	c.mu.Unlock()
	status, body, err := c.exchange(ip, q.id, header)
	c.mu.Lock()
	defer c.mu.Unlock()
	q.ended, q.status, q.body = time.Now(), status, body
	if err != nil {
		q.failure = err.Error()
	}
	c.w.noteAt(q.at, "client sends %s to %s", q.id, ip)
	c.w.noteAt(q.ended, "client gets for %s: %d %s", q.id, q.status, q.failure)
}

func (c *clients) exchange(ip, id string, header map[string]string) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout+500*time.Millisecond)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	url := "http://" + net.JoinHostPort(ip, strconv.Itoa(portFront)) + c.path
	req, err := http.NewRequestWithContext(ctx, c.method, url, bytes.NewReader([]byte("{\"order\":\""+id+"\"}")))
	if err != nil {
		return 0, "", err
	}
	req.Host = c.host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(c.timeout.Milliseconds(), 10))
	for name, value := range c.header {
		req.Header.Set(name, value)
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

// batch sends a number of requests at once and returns without waiting for the answers.
func (c *clients) batch(ip string, n int) {
	for range n {
		c.open.Go(func() { c.send(ip, nil) })
	}
}

// batchWith sends one request with further headers and returns without waiting for the
// answer.
func (c *clients) batchWith(ip string, header map[string]string) {
	c.open.Go(func() { c.send(ip, header) })
}

// wait waits for all answers.
func (c *clients) wait() { c.open.Wait() }

// find returns a request by its id.
func (c *clients) find(id string) (sent, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.all[id]
	if q == nil {
		return sent{}, false
	}
	return *q, true
}

// count returns the number of requests, and of those whose connection ended without an answer.
func (c *clients) count() (requests, cut int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, q := range c.all {
		if requests++; q.status == 0 {
			cut++
		}
	}
	return requests, cut
}
