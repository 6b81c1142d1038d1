package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the time since the start of
// the run.
type record struct {
	began time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	if err != nil {
		cannotRun(err.Error())
	}
	return &record{began: time.Now(), file: file, out: bufio.NewWriter(file)}
}

func (r *record) now() time.Duration { return time.Since(r.began) }

// line writes an event with fields, given as pairs of name and value.
func (r *record) line(event string, fields ...any) {
	var text strings.Builder
	fmt.Fprintf(&text, "%9.4f %s", r.now().Seconds(), event)
	for i := 0; i+1 < len(fields); i += 2 {
		fmt.Fprintf(&text, " %v=%v", fields[i], fields[i+1])
	}
	text.WriteByte('\n')
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.out.WriteString(text.String())
}

// note writes an event and prints it.
func (r *record) note(event string, fields ...any) {
	r.line(event, fields...)
	fmt.Printf("%9.4f %s", r.now().Seconds(), event)
	for i := 0; i+1 < len(fields); i += 2 {
		fmt.Printf(" %v=%v", fields[i], fields[i+1])
	}
	fmt.Println()
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
