// Package eventstream splits the body of a text/event-stream response into
// events.
package eventstream

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
)

const (
	// readBufferBytes is enough for a few events.
	readBufferBytes = 2 << 10
	// maxEventBytes bounds one event. Many readers may hold one that never ends.
	maxEventBytes = 128 << 10
)

// TooLongError reports an event longer than the limit.
type TooLongError struct{}

// Error implements error.
func (*TooLongError) Error() string {
	return "an event is longer than " + strconv.Itoa(maxEventBytes) + " bytes"
}

// Reader reads events. It is not safe for concurrent use.
type Reader struct {
	reader *bufio.Reader
	// event holds the bytes of the current event.
	event []byte
}

// Event is one event.
type Event struct {
	// Raw holds the event's bytes with the blank line at its end. It is valid until
	// the next call of Next.
	Raw []byte
	// ID is the value of the event's id field, or empty.
	ID string
}

// NewReader returns a Reader of the response body.
func NewReader(body io.Reader) *Reader {
	return &Reader{reader: bufio.NewReaderSize(body, readBufferBytes)}
}

// Next returns the next complete event. At the end of the body the error is
// io.EOF, or io.ErrUnexpectedEOF if the body ends within an event.
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

// line appends the next line to the event and returns it.
func (r *Reader) line() ([]byte, error) {
	start := len(r.event)
	for {
		part, err := r.reader.ReadSlice('\n')
		r.event = append(r.event, part...)
		if len(r.event) > maxEventBytes {
			return nil, &TooLongError{}
		}
		if err != bufio.ErrBufferFull {
			return r.event[start:], err
		}
	}
}

// HasBuffered reports whether another complete event is already in the buffer.
func (r *Reader) HasBuffered() bool {
	// Peek does not read more than is buffered.
	buffered, _ := r.reader.Peek(r.reader.Buffered())
	return bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\n\r\n"))
}
