package eventstream

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

// FuzzReader: no body ends the process or makes an event longer than the limit, what is
// passed on is a prefix of the body, and how the bytes arrive makes no difference.
func FuzzReader(f *testing.F) {
	for _, body := range []string{"", "id: 1\ndata: a\n\n", "\n\n\n", ": c\r\n\r\nid:2\r\n\r\n", "id: 1\ndata: a\n", "data", "\r\r\n\n"} {
		f.Add([]byte(body))
	}
	read := func(t *testing.T, source io.Reader) (events [][]byte, last error) {
		for r := NewReader(source); ; {
			e, err := r.Next()
			if err != nil {
				return events, err
			}
			assert.Assert(t, len(e.Raw) <= maxEventBytes)
			events = append(events, bytes.Clone(e.Raw))
		}
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		events, last := read(t, bytes.NewReader(body))
		again, lastAgain := read(t, iotest.OneByteReader(bytes.NewReader(body)))
		assert.DeepEqual(t, events, again)
		assert.Equal(t, last, lastAgain)
		assert.Assert(t, bytes.HasPrefix(body, bytes.Join(events, nil)))
		if last == io.EOF {
			rest := body[len(bytes.Join(events, nil)):]
			assert.Equal(t, len(bytes.Trim(rest, "\r\n")), 0, "a stream that ends inside an event looks complete")
		}
	})
}
