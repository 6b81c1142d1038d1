// Package eventlog writes structured log lines without ever blocking its
// callers: one JSON object a line, through a bounded queue. Lines that do not
// fit are dropped and counted.
package eventlog

import (
	"expvar"
	"io"
	"log/slog"
)

// queued is the number of lines that may wait for the writer; at about 300
// bytes a line it bounds the memory to some hundred KB.
const queued = 1024

// dropped counts lines that did not fit into the queue.
var dropped = expvar.NewInt("log_lines_dropped")

// writer passes lines to a goroutine that writes them.
type writer struct {
	lines chan []byte
	done  chan struct{}
}

// New returns a logger that writes to out, and a function that writes what is
// queued and ends the writer. Nothing may be logged after it was called.
func New(out io.Writer, level slog.Leveler) (*slog.Logger, func()) {
	w := &writer{lines: make(chan []byte, queued), done: make(chan struct{})}
	go w.run(out)
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})
	return slog.New(handler), w.close
}

// Write implements io.Writer: it queues one line or drops it.
func (w *writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		dropped.Add(1)
	}
	return len(line), nil
}

func (w *writer) run(out io.Writer) {
	defer close(w.done)
	for line := range w.lines {
		// There is nowhere to report that the log itself cannot be written.
		_, _ = out.Write(line)
	}
}

func (w *writer) close() {
	close(w.lines)
	<-w.done
}
