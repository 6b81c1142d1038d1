package eventlog

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
)

// stuckWriter does not return until it is let go.
type stuckWriter struct {
	free chan struct{}
	text bytes.Buffer
}

func (w *stuckWriter) Write(p []byte) (int, error) {
	<-w.free
	return w.text.Write(p)
}

// TestNeverBlocks: a reader that does not read stops nobody; what does not fit
// is counted.
func TestNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		before := dropped.Value()
		w := &stuckWriter{free: make(chan struct{})}
		log, end := New(w, slog.LevelInfo)
		const lines = 3 * queued
		for i := range lines {
			log.Info("line", "number", i)
		}
		synctest.Wait()
		lost := dropped.Value() - before
		assert.Assert(t, lost >= lines-queued-1, "%d lines dropped", lost)
		close(w.free)
		end()
		assert.Equal(t, int64(strings.Count(w.text.String(), "\n")), lines-lost)
	})
}

// BenchmarkLine tells what a line costs its caller.
func BenchmarkLine(b *testing.B) {
	log, end := New(&bytes.Buffer{}, slog.LevelInfo)
	defer end()
	for b.Loop() {
		log.Info("request served", "request", "9c41d07be2a35f68", "route", "r", "service", "s", "endpoint", "i-1", "load", 3.0, "sends", 1, "ms", 812)
	}
}
