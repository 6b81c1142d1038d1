package main

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"time"
)

const (
	// reportParts is the number of shared parts of each prompt; PARTS is another one.
	reportParts = 2100
	// reportWorkers is the number of model workers. One that has crashed is back after
	// reportRestart, and needs reportPrefill for the first event of an answer.
	reportWorkers = 6
	reportRestart = 2 * time.Second
	reportPrefill = 350 * time.Millisecond
	// draftInterval is the time between two sound requests.
	draftInterval = 17 * time.Millisecond
	// A request with deadlyPart comes each reportInterval, for reportTime.
	reportInterval = 2500 * time.Millisecond
	reportTime     = 45 * time.Second
)

// runReport lets requests come one of whose parts crashes workers, while the workers are
// busy with sound requests whose prompts have many parts too.
//
// BUDGET: at most three requests with that part reach workers later than contact after the
// fifth crash.
func runReport(w *world) (verdict, error) {
	parts := reportParts
	if text := os.Getenv("PARTS"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil {
			return verdict{}, err
		}
		parts = n
	}
	s, err := w.startStore()
	if err != nil {
		return verdict{}, err
	}
	cfg := deskConfig(3, nil)
	cfg["routes"] = []any{map[string]any{
		"name": "drafts", "hostname": "desk.example", "prefix": "/drafts/", "kind": "streaming", "target_latency_ms": 400, "target_gap_ms": 120,
		"timeout_ms": 8000, "priority": 1, "max_attempts": 2, "allow_anonymous": true, "service": "drafting",
	}}
	cfg["services"] = []any{map[string]any{"name": "drafting", "health_path": "/health", "max_connections": 516}}
	if err := s.putJSON("op", "config", cfg); err != nil {
		return verdict{}, err
	}
	var workers []*worker
	for i := range reportWorkers {
		one, err := w.startWorker(s, fmt.Sprintf("i-drafting-%d", i+1), w.ip(4, i), reportPrefill, reportRestart)
		if err != nil {
			return verdict{}, err
		}
		workers = append(workers, one)
	}
	ips, _, err := w.startEdges(s, edgeMB, 700)
	if err != nil {
		return verdict{}, err
	}
	sound := &clients{w: w, host: "desk.example", path: "/drafts/x", method: http.MethodPost, timeout: 8 * time.Second, prefix: "s"}
	deadly := &clients{w: w, host: "desk.example", path: "/drafts/x", method: http.MethodPost, timeout: 8 * time.Second, prefix: "d"}
	began := time.Now()
	next := began.Add(5 * time.Second)
	for n := 0; time.Since(began) < 5*time.Second+reportTime; n++ {
		sound.batchWith(ips[n%len(ips)], map[string]string{"X-Prompt-Prefix": prompt(parts, "", fmt.Sprintf("a%05x", n))})
		if w.trouble && time.Now().After(next) {
			next = next.Add(reportInterval)
			deadly.batchWith(ips[n%len(ips)], map[string]string{"X-Prompt-Prefix": prompt(parts, deadlyPart, fmt.Sprintf("b%05x", n))})
		}
		time.Sleep(draftInterval)
	}
	sound.wait()
	deadly.wait()
	return judgeReport(w, workers, sound), nil
}

// judgeReport applies BUDGET to the requests with deadlyPart that reached workers.
func judgeReport(w *world, workers []*worker, sound *clients) verdict {
	var crashes, arrivals []time.Time
	cut := 0
	for _, k := range workers {
		k.mu.Lock()
		crashes, arrivals = append(crashes, k.crashes...), append(arrivals, k.deadly...)
		cut += k.cut
		k.mu.Unlock()
	}
	slices.SortFunc(crashes, time.Time.Compare)
	late := 0
	if len(crashes) >= 5 {
		for _, at := range arrivals {
			if at.Sub(crashes[4]) > contact {
				late++
				w.noteAt(at, "BUDGET: a request with the deadly part reaches a worker %d ms after the fifth crash", at.Sub(crashes[4]).Milliseconds())
			}
		}
	}
	requests, _ := sound.count()
	summary := fmt.Sprintf("%d requests with the deadly part reached workers later than %s after the fifth of %d crashes; %d of %d sound streams were cut by crashes", late, contact, len(crashes), cut, requests)
	if late > 3 {
		return verdict{broken: true, summary: "broken: BUDGET: " + summary}
	}
	return verdict{summary: "held: " + summary}
}
