package asynclog

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	_ "github.com/cyclamenpoint/cyclamenpoint/internal/bubble"
)

// stuckWriter blocks until release is closed.
type stuckWriter struct {
	release chan struct{}
	text    bytes.Buffer
}

func (w *stuckWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.text.Write(p)
}

// TestNeverBlocks: a stuck output does not block callers, and the lines dropped
// meanwhile are counted.
func TestNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		before := dropped.Value()
		w := &stuckWriter{release: make(chan struct{})}
		log, stop := New(w, slog.LevelInfo)
		const lines = 3 * queueLines
		for i := range lines {
			log.Info("line", "number", i)
		}
		synctest.Wait()
		droppedLines := dropped.Value() - before
		assert.Assert(t, droppedLines >= lines-queueLines-1, "%d lines dropped", droppedLines)
		close(w.release)
		stop()
		assert.Equal(t, int64(strings.Count(w.text.String(), "\n")), lines-droppedLines)
	})
}

// TestLogAfterStop: goroutines that still run when a process stops may log after the
// logger has stopped. Their lines are lost, but the process must not panic.
func TestLogAfterStop(t *testing.T) {
	var out bytes.Buffer
	log, stop := New(&out, slog.LevelInfo)
	log.Info("before")
	stop()
	for range 2 * queueLines {
		log.Info("after")
	}
	assert.Equal(t, strings.Count(out.String(), "\n"), 1)
}

// BenchmarkLine measures how long logging a line occupies the caller.
func BenchmarkLine(b *testing.B) {
	log, stop := New(&bytes.Buffer{}, slog.LevelInfo)
	defer stop()
	for b.Loop() {
		log.Info("request served", "request", "9c41d07be2a35f68", "route", "r", "service", "s", "endpoint", "i-1", "load", 3.0, "sends", 1, "ms", 812)
	}
}
