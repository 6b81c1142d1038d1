package forward

import (
	"context"
	"io"
	"strconv"

	"github.com/cyclamenpoint/cyclamenpoint/membudget"
)

const (
	// maxBufferedBytes limits responses that are read in full before any byte is
	// sent to the caller, so that a retry can replace an incomplete response. Longer
	// responses fail.
	maxBufferedBytes = 4 << 20
	// minBufferChunkBytes and maxBufferChunkBytes are the sizes of the first and of the
	// later chunks in which a response is kept. The first one is not reserved: it counts
	// as memory of the caller's connection.
	minBufferChunkBytes = 2 << 10
	maxBufferChunkBytes = 32 << 10
	// freeBufferBytes is the part of a response that is reserved even if the budget is
	// exhausted, so that ordinary responses never have to wait for memory.
	freeBufferBytes = 2 * maxBufferChunkBytes
)

// AnswerTooLongError reports a response that is longer than the limit.
type AnswerTooLongError struct{}

// Error implements error.
func (*AnswerTooLongError) Error() string {
	return "answer is longer than " + strconv.Itoa(maxBufferedBytes) + " bytes"
}

// bufferedBody is a response body that was read in full.
type bufferedBody struct {
	chunks [][]byte
	size   int
	memory *membudget.Reservation
}

// readBody reads a body to its end. It returns an *AnswerTooLongError, a
// *membudget.FullError, or the error of the body or the context. The result must be
// released unless there is an error.
func readBody(ctx context.Context, body io.Reader, memory *membudget.Reservation) (*bufferedBody, error) {
	b := &bufferedBody{memory: memory}
	var chunk []byte
	for {
		if len(chunk) == cap(chunk) {
			var err error
			if chunk, err = b.grow(ctx); err != nil {
				b.release()
				return nil, err
			}
		}
		n, err := body.Read(chunk[len(chunk):cap(chunk)])
		chunk = chunk[:len(chunk)+n]
		b.chunks[len(b.chunks)-1], b.size = chunk, b.size+n
		if err == io.EOF {
			return b, nil
		}
		if err != nil {
			b.release()
			return nil, err
		}
	}
}

// grow adds an empty chunk for the next bytes.
func (b *bufferedBody) grow(ctx context.Context) ([]byte, error) {
	if b.size > maxBufferedBytes {
		return nil, &AnswerTooLongError{}
	}
	n := min(max(b.size, minBufferChunkBytes), maxBufferChunkBytes)
	if b.size >= freeBufferBytes {
		if err := b.memory.Grow(ctx, int64(n)); err != nil {
			return nil, err
		}
	} else if b.size > 0 {
		b.memory.ForceGrow(int64(n))
	}
	chunk := make([]byte, 0, n)
	b.chunks = append(b.chunks, chunk)
	return chunk, nil
}

// aborter is a Sink whose writes can be ended from outside.
type aborter interface {
	// Abort makes the current and all further calls of Write fail. It must not block.
	Abort()
}

// writeTo writes the body to a sink. Its memory can be revoked from a caller that does not
// read.
func (b *bufferedBody) writeTo(sink Sink) error {
	if a, ok := sink.(aborter); ok && len(b.chunks) > 1 {
		b.memory.SetRevocable(a.Abort)
		defer b.memory.SetRevocable(nil)
	}
	for i, chunk := range b.chunks {
		if err := sink.Write(chunk); err != nil {
			return err
		}
		if i > 0 {
			b.chunks[i] = nil
			b.memory.Shrink(int64(cap(chunk)))
			b.memory.Progress(cap(chunk))
		}
	}
	return nil
}

// release returns the memory of the body.
func (b *bufferedBody) release() {
	if len(b.chunks) > 1 {
		b.memory.Release()
	}
	b.chunks = nil
}
