package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/quarantine"
)

const (
	// maxStoredFingerprints bounds the row of a gateway in the store to some 20 KB.
	maxStoredFingerprints = 240
	// crashWriteInterval is the minimum time between two writes of the row, clearWriteInterval
	// that if there is no new crash. A clearance that is lost is learned anew.
	crashWriteInterval = 2 * time.Second
	clearWriteInterval = 15 * time.Second
	// storeRetryInterval is the time between two attempts to read or write.
	storeRetryInterval = time.Second
	// maxRewriteDelay bounds the random delay of writing the row again after a restore of the
	// store, so that not all gateways write at once.
	maxRewriteDelay = time.Second
)

// storedCrashes is the row of a gateway in the table of crashes: its own reports.
type storedCrashes struct {
	// WrittenMillis is the time of day of the write in milliseconds. A crash ages by the
	// time since then. Merging limits the remaining time, so a wrong clock does not
	// prolong a fact by more than that.
	WrittenMillis int64              `json:"written_ms"`
	Crashes       []quarantine.Crash `json:"crashes"`
}

// crashStore keeps this gateway's reports on crashes in the platform's store, so that they
// outlast a stop of all gateways. Nothing waits for it.
type crashStore struct {
	crashes *crashes
	store   Store
	table   string
	node    string
	// written is the content of the row without times, nil if there is none, newest the latest
	// crash in it.
	written []byte
	newest  quarantine.CrashID
	// restored is true if the store has been restored since the latest write and may have lost
	// it.
	restored atomic.Bool
}

// run reads the reports of all gateways and then writes this gateway's row after
// changes until ctx ends.
func (s *crashStore) run(ctx context.Context) {
	s.store.Eras().OnRestore(func(uint64) {
		time.AfterFunc(rand.N(maxRewriteDelay), func() {
			s.restored.Store(true)
			notify(s.crashes.unsaved)
		})
	})
	for !s.read(ctx) {
		if sleep(ctx, storeRetryInterval); ctx.Err() != nil {
			return
		}
	}
	for {
		select {
		case <-s.crashes.unsaved:
		case <-ctx.Done():
			return
		}
		for !s.write(ctx) {
			if sleep(ctx, storeRetryInterval); ctx.Err() != nil {
				return
			}
		}
	}
}

// read merges the rows of all gateways and reports whether the store answered.
func (s *crashStore) read(ctx context.Context) bool {
	rows, err := s.store.Read(ctx, s.table)
	if err != nil {
		s.crashes.log.Warn("cannot read the table of crashes", "error", err.Error())
		return false
	}
	for _, row := range rows.Rows {
		var stored storedCrashes
		if err := json.Unmarshal(row.Value, &stored); err != nil {
			s.crashes.log.Warn("cannot decode the crashes of a gateway", "row", row.Key, "error", err.Error())
			continue
		}
		if row.Key == s.node {
			if content, err := withoutTimes(stored.Crashes); err == nil {
				s.written = content
			}
		}
		age := max(time.Since(time.UnixMilli(stored.WrittenMillis)), 0)
		for i := range stored.Crashes {
			stored.Crashes[i].Remaining -= age
		}
		s.crashes.merge(quarantine.Facts{Crashes: stored.Crashes})
	}
	return true
}

// write writes the row if its content has changed, waits until the next write may follow,
// and reports whether the store accepted it.
func (s *crashStore) write(ctx context.Context) bool {
	reports := s.crashes.list.UnclearedReports(s.node, maxStoredFingerprints)
	content, err := withoutTimes(reports)
	if err != nil {
		s.crashes.log.Error("cannot encode the crashes for the store", "error", err.Error())
		return true
	}
	restored := s.restored.Swap(false)
	if s.written == nil && len(reports) == 0 || bytes.Equal(content, s.written) && !restored {
		return true
	}
	var newest quarantine.CrashID
	if len(reports) > 0 {
		newest = reports[0].ID
	}
	row, err := json.Marshal(storedCrashes{WrittenMillis: time.Now().UnixMilli(), Crashes: reports})
	if err == nil {
		_, err = s.store.Put(ctx, s.table, s.node, row)
	}
	if err != nil {
		if restored {
			s.restored.Store(true)
		}
		s.crashes.log.Warn("cannot write the table of crashes", "error", err.Error())
		return false
	}
	s.crashes.log.Info("crashes written to the store", "crashes", len(reports), "bytes", len(row))
	s.written, s.newest = content, newest
	s.pause(ctx)
	return true
}

// pause waits until the next write may follow: clearWriteInterval, or crashWriteInterval
// once this gateway has reported another crash or the store has been restored.
func (s *crashStore) pause(ctx context.Context) {
	for waited := time.Duration(0); waited < clearWriteInterval; waited += crashWriteInterval {
		if sleep(ctx, crashWriteInterval); ctx.Err() != nil {
			return
		}
		reports := s.crashes.list.UnclearedReports(s.node, maxStoredFingerprints)
		if s.restored.Load() || len(reports) > 0 && reports[0].ID != s.newest {
			return
		}
	}
}

// withoutTimes encodes reports without their remaining times.
func withoutTimes(reports []quarantine.Crash) ([]byte, error) {
	out := make([]quarantine.Crash, len(reports))
	for i, c := range reports {
		c.Remaining = 0
		out[i] = c
	}
	return json.Marshal(out)
}
