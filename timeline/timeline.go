// Package timeline reconstructs the history of a request from the logs of several
// processes whose clocks may differ.
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
	// maxLineBytes bounds a log line.
	maxLineBytes = 1 << 20
	// contextWindow is the maximum time between a process's last line about the
	// request and a line of its context.
	contextWindow = 5 * time.Second
)

// Line is one log line.
type Line struct {
	At      time.Time
	Node    string
	Message string
	Level   string
	// Fields are the other fields of the line.
	Fields map[string]any
}

// decode decodes a line. It skips text before the JSON object, where log
// collectors add their own data. It reports false if the line is not a log line
// of the system.
func decode(text string) (Line, bool) {
	begin := strings.IndexByte(text, '{')
	if begin < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if json.Unmarshal([]byte(text[begin:]), &fields) != nil {
		return Line{}, false
	}
	l := Line{Fields: fields, Message: takeString(fields, "msg"), Node: takeString(fields, "node"), Level: takeString(fields, "level")}
	at, err := time.Parse(time.RFC3339Nano, takeString(fields, "time"))
	l.At = at
	return l, err == nil && l.Message != ""
}

// takeString removes a field and returns its value, or "" if it is not a string.
func takeString(fields map[string]any, name string) string {
	text, _ := fields[name].(string)
	delete(fields, name)
	return text
}

// field returns the value of a field, or "" if it is not a string.
func (l Line) field(name string) string {
	text, _ := l.Fields[name].(string)
	return text
}

// Timeline is the history of one request.
type Timeline struct {
	Request string
	// Lines are the log lines about the request. Those of one process are in the
	// order of its clock.
	Lines []Line
	// Context holds lines of the same processes at about the same time that belong
	// to no request: about one of its endpoints, or about no endpoint, such as a
	// store that does not answer.
	Context []Line
}

// Read reads the timeline of a request from logs. It skips lines that are not log
// lines of the system.
func Read(request string, logs ...io.Reader) (Timeline, error) {
	t := Timeline{Request: request}
	var others []Line
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLineBytes)
		for scanner.Scan() {
			l, ok := decode(scanner.Text())
			switch {
			case !ok:
			case l.field("request") == request:
				t.Lines = append(t.Lines, l)
			case l.field("request") == "":
				others = append(others, l)
			}
		}
		if err := scanner.Err(); err != nil {
			return t, err
		}
	}
	t.sortLines()
	t.Context = t.findContext(others)
	return t, nil
}

// sortLines sorts the lines of one process by time, and lines of different
// processes by attempt and then by time. Clocks may differ between processes, but
// a line about a later attempt was always written later.
func (t *Timeline) sortLines() {
	slices.SortStableFunc(t.Lines, func(a, b Line) int {
		if a.Node == b.Node {
			return a.At.Compare(b.At)
		}
		return cmp.Or(cmp.Compare(a.attempt(), b.attempt()), a.At.Compare(b.At))
	})
}

// attempt returns the line's number of attempts, from the field attempt or else
// from the field sends. It returns 0 if there is neither.
func (l Line) attempt() float64 {
	n, ok := l.Fields["attempt"].(float64)
	if !ok {
		n, _ = l.Fields["sends"].(float64)
	}
	return n
}

// findContext selects the context among the lines about no request. Times are
// compared only between lines of the same process.
func (t *Timeline) findContext(others []Line) []Line {
	endpoints := make(map[string]bool)
	lastLine := make(map[string]time.Time)
	for _, l := range t.Lines {
		if e := l.field("endpoint"); e != "" {
			endpoints[e] = true
		}
		lastLine[l.Node] = l.At
	}
	var found []Line
	for _, l := range others {
		at, ok := lastLine[l.Node]
		if !ok || l.At.Before(at.Add(-contextWindow)) || l.At.After(at.Add(contextWindow)) {
			continue
		}
		if e := l.field("endpoint"); e != "" && !endpoints[e] {
			continue
		}
		found = append(found, l)
	}
	slices.SortStableFunc(found, func(a, b Line) int { return a.At.Compare(b.At) })
	return found
}

// Write writes the timeline as text, with times relative to the first line.
func (t Timeline) Write(w io.Writer) error {
	if len(t.Lines) == 0 {
		_, err := fmt.Fprintf(w, "request %s: no line names it\n", t.Request)
		return err
	}
	text := &strings.Builder{}
	fmt.Fprintf(text, "request %s\n", t.Request)
	for _, l := range t.Lines {
		l.write(text, t.Lines[0].At)
	}
	if len(t.Context) > 0 {
		fmt.Fprintln(text, "meanwhile:")
	}
	for _, l := range t.Context {
		l.write(text, t.Lines[0].At)
	}
	_, err := io.WriteString(w, text.String())
	return err
}

// write appends the line, with its time since first.
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
