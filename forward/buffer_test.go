package forward

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"
	"gotest.tools/v3/assert"
)

// TestReadBody: bodies of any size up to the limit are kept as they are, one that breaks
// off never counts as complete, and all memory is returned.
func TestReadBody(t *testing.T) {
	budget := semaphore.NewWeighted(sharedBufferBytes)
	for _, size := range []int{0, 1, minBufferChunkBytes, freeBufferBytes, freeBufferBytes + 1, maxBufferedBytes} {
		text := strings.Repeat("abcdefg", size/7+1)[:size]
		for name, source := range map[string]io.Reader{"at once": strings.NewReader(text), "end with the last bytes": iotest.DataErrReader(strings.NewReader(text)), "in halves": iotest.HalfReader(strings.NewReader(text))} {
			b, err := readBody(source, budget)
			assert.NilError(t, err, "%d bytes, %s", size, name)
			assert.Equal(t, b.size, size)
			var kept strings.Builder
			for _, chunk := range b.chunks {
				kept.Write(chunk)
			}
			assert.Assert(t, kept.String() == text, "%d bytes, %s", size, name)
			b.release()
		}
		_, err := readBody(io.MultiReader(strings.NewReader(text), iotest.ErrReader(io.ErrUnexpectedEOF)), budget)
		assert.Equal(t, err, io.ErrUnexpectedEOF, "%d bytes", size)
	}
	_, err := readBody(strings.NewReader(strings.Repeat("x", 2*maxBufferedBytes)), budget)
	assert.Assert(t, errors.As(err, new(*AnswerTooLongError)), "%v", err)
	assert.Assert(t, budget.TryAcquire(sharedBufferBytes), "memory was not returned")
}

// TestFullBuffers: long responses that use all memory fail, short ones need none of it.
func TestFullBuffers(t *testing.T) {
	budget := semaphore.NewWeighted(sharedBufferBytes)
	assert.Assert(t, budget.TryAcquire(sharedBufferBytes))
	_, err := readBody(strings.NewReader(strings.Repeat("x", freeBufferBytes+maxBufferChunkBytes)), budget)
	assert.Assert(t, errors.As(err, new(*BuffersFullError)), "%v", err)
	b, err := readBody(strings.NewReader(strings.Repeat("x", freeBufferBytes-1)), budget)
	assert.NilError(t, err)
	b.release()
}
