package main

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crowdSize is the number of connections that clients open to each machine at once, from
	// crowdAddresses addresses. A machine allows 1,001 connections.
	crowdSize      = 900
	crowdAddresses = 8
	// crowds is the number of times that they come, crowdTime how long they stay, and
	// crowdPause the calm before.
	crowds     = 4
	crowdTime  = 6 * time.Second
	crowdPause = 6 * time.Second
	// crowdHeadBytes is the size of a request's head; max_header_bytes is 16,384.
	crowdHeadBytes = 16000
	// crowdBodyBytes is the length of its body, of which the last byte is not sent.
	crowdBodyBytes = 1000
)

// crowdRequest returns a request within the limits for clients, but for the last byte of its
// body. Its head consists of many short lines.
func crowdRequest(id string) string {
	var head strings.Builder
	fmt.Fprintf(&head, "POST /orders/new HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 4000\r\nContent-Length: %d\r\n", id, crowdBodyBytes)
	for n := 0; head.Len() < crowdHeadBytes; n++ {
		head.WriteString(strconv.FormatInt(int64(n), 36) + ":\r\n")
	}
	head.WriteString("\r\n")
	return head.String() + strings.Repeat("x", crowdBodyBytes-1)
}

// runCrowd lets clients that the operator does not control send requests whose heads have
// many short lines and whose bodies stop just short of their end.
//
// Fault: processes do not end by themselves three times on two machines; memory over the
// limit counts.
func runCrowd(w *world) (verdict, error) {
	s, err := w.startStore()
	if err != nil {
		return verdict{}, err
	}
	if err := s.putJSON("op", "config", deskConfig(3, nil)); err != nil {
		return verdict{}, err
	}
	for i := range 3 {
		if _, err := w.startServer(s, fmt.Sprintf("i-desk-%d", i+1), "desk", w.ip(2, i), 200*time.Millisecond); err != nil {
			return verdict{}, err
		}
	}
	ips, guards, err := w.startEdges(s, edgeMB, 700)
	if err != nil {
		return verdict{}, err
	}
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
	for crowd := range crowds {
		time.Sleep(crowdPause)
		if w.trouble {
			w.note("crowd %d: %d connections to each machine", crowd+1, crowdSize)
			w.sendCrowd(ips, crowd)
		} else {
			time.Sleep(crowdTime)
		}
	}
	time.Sleep(time.Second)
	close(stop)
	background.Wait()
	c.wait()
	orders, cut := c.count()
	return judgeMemory(w, guards, orders, cut), nil
}

// sendCrowd opens the connections of a crowd and keeps them open for crowdTime.
func (w *world) sendCrowd(ips []string, crowd int) {
	var all sync.WaitGroup
	var sentWhole atomic.Int64
	end := time.Now().Add(crowdTime)
	for _, ip := range ips {
		for i := range crowdSize {
			all.Go(func() {
				dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(w.ip(5, i%crowdAddresses))}, Timeout: time.Second}
				conn, err := dialer.Dial("tcp", net.JoinHostPort(ip, strconv.Itoa(portFront)))
				if err != nil {
					return
				}
				defer conn.Close()
				if _, err := conn.Write([]byte(crowdRequest(fmt.Sprintf("u%d-%d", crowd, i)))); err != nil {
					return
				}
				sentWhole.Add(1)
				w.note("client sends u%d-%d to %s but for its last byte", crowd, i, ip)
				time.Sleep(time.Until(end))
			})
		}
	}
	all.Wait()
	w.note("crowd %d: %d requests were sent but for their last byte", crowd+1, sentWhole.Load())
}

// startEdges starts the edge machines, with some memory and a link.
func (w *world) startEdges(s *platformStore, memoryMB, linkMbps int) (ips []string, guards []*guard, err error) {
	for i := range memoryMachines {
		ip := w.ip(1, i)
		m := machine{name: fmt.Sprintf("edge-%d", i+1), class: "edge", ip: ip, store: s.address, seeds: fmt.Sprintf("%s:%d", w.ip(1, 0), portControl), memoryMB: memoryMB, linkMbps: linkMbps, fds: memoryFDs, bootstrap: true}
		p, err := w.start(m, w.gateway, "gateway")
		if err != nil {
			return nil, nil, err
		}
		ips, guards = append(ips, ip), append(guards, &guard{process: p, limitMB: int64(memoryMB)})
		if err := awaitReady(ip); err != nil {
			return nil, nil, err
		}
		// The settings of a restart.
		m.bootstrap = false
		if err := os.WriteFile(p.settings, []byte(m.settingsText()), 0o600); err != nil {
			return nil, nil, err
		}
	}
	return ips, guards, nil
}
