// Package asynclog provides a structured logger that never blocks its callers. It
// writes one JSON object per line through a bounded queue; lines that do not fit
// are dropped and counted.
package asynclog

import (
	"expvar"
	"io"
	"log/slog"
)

// queueLines bounds the number of queued lines. At about 300 bytes a line, a full
// queue needs a few hundred KB.
const queueLines = 1024

// dropped counts the lines that did not fit into the queue.
var dropped = expvar.NewInt("log_lines_dropped")

// writer queues lines for the goroutine that writes them.
type writer struct {
	lines chan []byte
	// stop is closed to stop the goroutine. The queue stays open, because other
	// goroutines may still log while the process stops.
	stop chan struct{}
	// done is closed when all lines are written.
	done chan struct{}
}

// New returns a logger that writes to out, and a function that writes the queued
// lines and stops the logger. Lines that are logged after that are lost.
func New(out io.Writer, level slog.Leveler) (*slog.Logger, func()) {
	w := &writer{lines: make(chan []byte, queueLines), stop: make(chan struct{}), done: make(chan struct{})}
	go w.run(out)
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})
	return slog.New(handler), w.close
}

// Write implements io.Writer. It queues one line or drops it; it never fails.
func (w *writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		dropped.Add(1)
	}
	return len(line), nil
}

// run writes queued lines until the writer is stopped, then those that are left.
func (w *writer) run(out io.Writer) {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			// A failure to write the log cannot be reported anywhere.
			_, _ = out.Write(line)
		case <-w.stop:
			for range len(w.lines) {
				_, _ = out.Write(<-w.lines)
			}
			return
		}
	}
}

// close stops the writer and waits until all lines queued so far are written.
func (w *writer) close() {
	close(w.stop)
	<-w.done
}
