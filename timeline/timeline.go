// Package timeline tells what became of a request, from the log lines of several
// processes whose clocks differ.
package timeline

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

const (
	// maxLine bounds a line, in bytes.
	maxLine = 1 << 20
	// around is how far from a request's own lines those lines lie that say what
	// a process believed of the request's endpoints and of the store.
	around = 5 * time.Second
)

// Line is one log line.
type Line struct {
	At      time.Time
	Node    string
	Message string
	Level   string
	// Fields are all others, by name.
	Fields map[string]any
}

// decode reads a line; what stands before the JSON object is left out, as
// collectors of logs put their own words there.
func decode(text string) (Line, bool) {
	begin := strings.IndexByte(text, '{')
	if begin < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if json.Unmarshal([]byte(text[begin:]), &fields) != nil {
		return Line{}, false
	}
	l := Line{Fields: fields, Message: take(fields, "msg"), Node: take(fields, "node"), Level: take(fields, "level")}
	at, err := time.Parse(time.RFC3339Nano, take(fields, "time"))
	l.At = at
	return l, err == nil && l.Message != ""
}

func take(fields map[string]any, name string) string {
	text, _ := fields[name].(string)
	delete(fields, name)
	return text
}

// text returns a field as text, or "".
func (l Line) text(name string) string {
	text, _ := l.Fields[name].(string)
	return text
}

// Timeline is what the lines tell of one request.
type Timeline struct {
	Request string
	// Lines are the request's lines, in the order in which each process wrote
	// them.
	Lines []Line
	// Context are lines of the same processes on the request's endpoints and on
	// what they lost, near its own.
	Context []Line
}

// Read collects a request's story. Lines that are not the system's are skipped.
func Read(request string, logs ...io.Reader) (Timeline, error) {
	s := Timeline{Request: request}
	var all []Line
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLine)
		for scanner.Scan() {
			l, ok := decode(scanner.Text())
			switch {
			case !ok:
			case l.text("request") == request:
				s.Lines = append(s.Lines, l)
			case l.text("request") == "":
				all = append(all, l)
			}
		}
		if err := scanner.Err(); err != nil {
			return s, err
		}
	}
	s.order()
	s.Context = s.nearby(all)
	return s, nil
}

// order sorts the lines by attempt, and by time only within one process: a line
// that names a later attempt was written later, whatever the clocks say.
func (s *Timeline) order() {
	slices.SortStableFunc(s.Lines, func(a, b Line) int {
		if a.Node == b.Node {
			return a.At.Compare(b.At)
		}
		return cmp.Or(cmp.Compare(a.attempt(), b.attempt()), a.At.Compare(b.At))
	})
}

// attempt is the number that a line names, as the last one if it names none.
func (l Line) attempt() float64 {
	n, ok := l.Fields["attempt"].(float64)
	if !ok {
		n, _ = l.Fields["sends"].(float64)
	}
	return n
}

// nearby returns the lines that explain the request's own, each compared by the
// clock of its own process.
func (s *Timeline) nearby(all []Line) []Line {
	endpoints := make(map[string]bool)
	times := make(map[string]time.Time)
	for _, l := range s.Lines {
		if e := l.text("endpoint"); e != "" {
			endpoints[e] = true
		}
		times[l.Node] = l.At
	}
	var near []Line
	for _, l := range all {
		at, known := times[l.Node]
		if !known || l.At.Before(at.Add(-around)) || l.At.After(at.Add(around)) {
			continue
		}
		if e := l.text("endpoint"); e != "" && !endpoints[e] {
			continue
		}
		near = append(near, l)
	}
	slices.SortStableFunc(near, func(a, b Line) int { return a.At.Compare(b.At) })
	return near
}

// Write tells the story.
func (s Timeline) Write(w io.Writer) error {
	if len(s.Lines) == 0 {
		_, err := fmt.Fprintf(w, "request %s: no line names it\n", s.Request)
		return err
	}
	text := &strings.Builder{}
	fmt.Fprintf(text, "request %s\n", s.Request)
	for _, l := range s.Lines {
		l.write(text, s.Lines[0].At)
	}
	if len(s.Context) > 0 {
		fmt.Fprintln(text, "meanwhile:")
	}
	for _, l := range s.Context {
		l.write(text, s.Lines[0].At)
	}
	_, err := io.WriteString(w, text.String())
	return err
}

// write appends a line with its time since the first one.
func (l Line) write(text *strings.Builder, first time.Time) {
	fmt.Fprintf(text, "  %+9.3fs %s  %s", l.At.Sub(first).Seconds(), l.Node, l.Message)
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		if name != "request" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		if v := l.Fields[name]; v != "" {
			fmt.Fprintf(text, "  %s=%v", name, v)
		}
	}
	text.WriteByte('\n')
}
