package eventstream

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

// TestEvents splits bodies that arrive one byte at a time.
func TestEvents(t *testing.T) {
	for _, c := range []struct {
		name, body string
		ids        []string
		err        error
	}{
		{"complete", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []string{"1", "2"}, io.EOF},
		{"carriage returns", "id:1\r\ndata: a\r\n\r\n", []string{"1"}, io.EOF},
		{"no id", "data: a\n\n", []string{""}, io.EOF},
		{"ends in an event", "id: 1\ndata: a\n\nid: 2\nda", []string{"1"}, io.ErrUnexpectedEOF},
		{"ends before the blank line", "id: 1\ndata: a\n", nil, io.ErrUnexpectedEOF},
		{"empty", "", nil, io.EOF},
		{"longer than the buffer", "id: 1\ndata: " + strings.Repeat("x", 3*readBufferBytes) + "\n\nid: 2\n\n", []string{"1", "2"}, io.EOF},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := NewReader(iotest.OneByteReader(strings.NewReader(c.body)))
			var ids []string
			passed := ""
			for {
				e, err := r.Next()
				if err != nil {
					assert.Equal(t, err, c.err)
					break
				}
				ids = append(ids, e.ID)
				passed += string(e.Raw)
			}
			assert.DeepEqual(t, ids, c.ids)
			assert.Assert(t, strings.HasPrefix(c.body, passed), "bytes are passed on as they came")
		})
	}
}

func TestTooLong(t *testing.T) {
	r := NewReader(strings.NewReader("data: " + strings.Repeat("x", maxEventBytes+1) + "\n\n"))
	_, err := r.Next()
	_, ok := err.(*TooLongError)
	assert.Assert(t, ok)
}

// TestPartOfEventIsNotBuffered guards against events that are held back until the rest of the next
// one arrives.
func TestPartOfEventIsNotBuffered(t *testing.T) {
	for body, want := range map[string]bool{
		"id: 1\n\nid: 2\n\n": true, "id: 1\n\nid: 2\r\n\r\n": true, "id: 1\n\n": false, "id: 1\n\nid: 2\nda": false, "id: 1\n\nid: 2\n": false,
	} {
		r := NewReader(strings.NewReader(body))
		_, err := r.Next()
		assert.NilError(t, err)
		assert.Equal(t, r.HasBuffered(), want, "%q", body)
	}
}
