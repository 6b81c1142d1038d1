package forward

import (
	"io"
	"net/netip"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/cyclamenpoint/cyclamenpoint/membudget"
)

// TestReadBody: bodies of any size up to the limit are kept as they are, one that breaks
// off never counts as complete, and all memory is returned.
func TestReadBody(t *testing.T) {
	budget := membudget.New(membudget.Config{Bytes: 16 << 20})
	for _, size := range []int{0, 1, minBufferChunkBytes, freeBufferBytes, freeBufferBytes + 1, maxBufferedBytes} {
		text := strings.Repeat("abcdefg", size/7+1)[:size]
		for name, source := range map[string]io.Reader{"at once": strings.NewReader(text), "end with the last bytes": iotest.DataErrReader(strings.NewReader(text)), "in halves": iotest.HalfReader(strings.NewReader(text))} {
			b, err := readBody(t.Context(), source, budget.Open(netip.Addr{}))
			assert.NilError(t, err, "%d bytes, %s", size, name)
			assert.Equal(t, b.size, size)
			var kept strings.Builder
			for _, chunk := range b.chunks {
				kept.Write(chunk)
			}
			assert.Assert(t, kept.String() == text, "%d bytes, %s", size, name)
			b.release()
		}
		_, err := readBody(t.Context(), io.MultiReader(strings.NewReader(text), iotest.ErrReader(io.ErrUnexpectedEOF)), budget.Open(netip.Addr{}))
		assert.Equal(t, err, io.ErrUnexpectedEOF, "%d bytes", size)
	}
	_, err := readBody(t.Context(), strings.NewReader(strings.Repeat("x", 2*maxBufferedBytes)), budget.Open(netip.Addr{}))
	assert.Assert(t, errors.As(err, new(*AnswerTooLongError)), "%v", err)
	assert.Equal(t, budget.Stats().Used, int64(0), "memory was not returned")
}

// TestFullBuffers: long responses that find no memory fail, short ones do not wait for it.
func TestFullBuffers(t *testing.T) {
	budget := membudget.New(membudget.Config{MaxWait: time.Millisecond})
	budget.Open(netip.Addr{}).ForceGrow(budget.Stats().Size)
	_, err := readBody(t.Context(), strings.NewReader(strings.Repeat("x", freeBufferBytes+maxBufferChunkBytes)), budget.Open(netip.Addr{}))
	assert.Assert(t, errors.As(err, new(*membudget.FullError)), "%v", err)
	b, err := readBody(t.Context(), strings.NewReader(strings.Repeat("x", freeBufferBytes-1)), budget.Open(netip.Addr{}))
	assert.NilError(t, err)
	b.release()
	assert.Equal(t, budget.Stats().Used, budget.Stats().Size)
}
