// Package eventstream cuts the body of a text/event-stream answer into whole
// events.
package eventstream

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
)

const (
	// readBuffer holds a few events.
	readBuffer = 2 << 10
	// maxEvent bounds one event, in bytes.
	maxEvent = 1 << 20
)

// TooLongError says that an event does not end within the bound.
type TooLongError struct{}

// Error implements error.
func (*TooLongError) Error() string {
	return "an event is longer than " + strconv.Itoa(maxEvent) + " bytes"
}

// Reader reads events. It belongs to one goroutine.
type Reader struct {
	reader *bufio.Reader
	event  []byte
}

// Event is one event with the blank line that ends it.
type Event struct {
	// Raw is valid until the next call of Next.
	Raw []byte
	// ID is the event's id, or empty.
	ID string
}

// NewReader returns a reader of a body.
func NewReader(body io.Reader) *Reader {
	return &Reader{reader: bufio.NewReaderSize(body, readBuffer)}
}

// Next returns the next whole event. At the body's end the error is io.EOF, or
// io.ErrUnexpectedEOF if it ends in the middle of an event.
func (r *Reader) Next() (Event, error) {
	r.event = r.event[:0]
	var id string
	begun := false
	for {
		line, err := r.line()
		if err == io.EOF && (begun || len(line) > 0) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return Event{}, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) > 0 {
			begun = true
			if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
				id = string(bytes.TrimSpace(value))
			}
			continue
		}
		if begun {
			return Event{Raw: r.event, ID: id}, nil
		}
	}
}

// line appends one line to the event and returns it.
func (r *Reader) line() ([]byte, error) {
	start := len(r.event)
	for {
		part, err := r.reader.ReadSlice('\n')
		r.event = append(r.event, part...)
		if len(r.event) > maxEvent {
			return nil, &TooLongError{}
		}
		if err != bufio.ErrBufferFull {
			return r.event[start:], err
		}
	}
}

// HasBuffered reports whether more bytes are there without another read.
func (r *Reader) HasBuffered() bool { return r.reader.Buffered() > 0 }
