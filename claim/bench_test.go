package claim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	objectstandin "github.com/cyclamenpoint/cyclamenpoint/standin/objectstore"
	tablestandin "github.com/cyclamenpoint/cyclamenpoint/standin/table"
	"github.com/cyclamenpoint/cyclamenpoint/table"
)

// BenchmarkProtected sends targetRequests protected requests per second in real
// time through ledgers that use the in-memory table over loopback HTTP. It
// reports the load of the table and the duration of Begin. Each ledger's write
// interval is its share of targetWrites.
func BenchmarkProtected(b *testing.B) {
	for _, ledgers := range []int{1, 3, 12, 40} {
		for _, delay := range []time.Duration{0, 20 * time.Millisecond} {
			name := fmt.Sprintf("ledgers=%d/table=%s", ledgers, delay)
			b.Run(name, func(b *testing.B) { benchmarkProtected(b, ledgers, delay) })
		}
	}
}

func benchmarkProtected(b *testing.B, ledgers int, delay time.Duration) {
	store := tablestandin.New()
	store.SetFaults(tablestandin.Faults{Delay: delay})
	server := httptest.NewServer(store.Handler())
	defer server.Close()
	// A tenth of the write budget is left for registrations and sweeps.
	interval := time.Duration(ledgers) * time.Second / (targetWrites * 9 / 10)
	ctx, cancel := context.WithCancel(context.Background())
	var workers sync.WaitGroup
	var all []*Ledger
	for i := range ledgers {
		client := table.NewClient(table.Settings{URL: server.URL}, nil)
		settings := Settings{Runner: strconv.Itoa(i), Nonce: strconv.Itoa(i), FlushInterval: interval}
		l := New(settings, client, objectstandin.New(), rand.New(rand.NewPCG(uint64(i), 1)))
		workers.Go(func() { l.Run(ctx) })
		all = append(all, l)
	}
	time.Sleep(time.Second)
	var mu sync.Mutex
	waits := hdrhistogram.New(1, int64(time.Minute), 3)
	failed := 0
	begun, before := time.Now(), store.Counts()
	var calls sync.WaitGroup
	for n := range b.N {
		time.Sleep(time.Until(begun.Add(time.Duration(n) * time.Second / targetRequests)))
		calls.Go(func() {
			sent := time.Now()
			c := Claim{Organisation: "o", Route: "POST desk/reservations", Key: strconv.Itoa(n), Fingerprint: "f", KeepAnswer: time.Hour}
			d, err := all[n%ledgers].Begin(ctx, c)
			waited := time.Since(sent)
			mu.Lock()
			defer mu.Unlock()
			if err != nil || all[n%ledgers].Finish(*d.Run, Answer{Status: 200, Body: make([]byte, 512)}) != nil {
				failed++
				return
			}
			// The histogram covers one minute, far longer than Begin waits.
			_ = waits.RecordValue(int64(waited))
		})
	}
	calls.Wait()
	elapsed, after := time.Since(begun).Seconds(), store.Counts()
	cancel()
	workers.Wait()
	b.ReportMetric(float64(b.N)/elapsed, "requests/s")
	b.ReportMetric(float64(after.Writes-before.Writes)/elapsed, "writes/s")
	b.ReportMetric(float64(after.Rows-before.Rows)/elapsed, "rows/s")
	b.ReportMetric(float64(after.Reads-before.Reads)/elapsed, "reads/s")
	b.ReportMetric(float64(waits.ValueAtQuantile(50))/1e6, "p50-ms")
	b.ReportMetric(float64(waits.ValueAtQuantile(99))/1e6, "p99-ms")
	b.ReportMetric(float64(failed), "failed")
	b.ReportMetric(0, "ns/op")
}
