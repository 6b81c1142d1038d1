package forward

import (
	"io"
	"strconv"

	"golang.org/x/sync/semaphore"
)

const (
	// maxBufferedBytes limits responses that are read in full before any byte is
	// sent to the caller, so that a retry can replace an incomplete response. Longer
	// responses fail.
	maxBufferedBytes = 4 << 20
	// minBufferChunkBytes and maxBufferChunkBytes are the sizes of the first and of the
	// later chunks in which a response is kept.
	minBufferChunkBytes = 2 << 10
	maxBufferChunkBytes = 32 << 10
	// freeBufferBytes is the part of a response that does not count towards
	// sharedBufferBytes, so that ordinary responses never have to wait for memory.
	freeBufferBytes = 2 * maxBufferChunkBytes
	// sharedBufferBytes limits what all responses together keep beyond that. Faulty
	// endpoints may send bytes without end in many responses at once.
	sharedBufferBytes = 32 << 20
)

// AnswerTooLongError reports a response that is longer than the limit.
type AnswerTooLongError struct{}

// Error implements error.
func (*AnswerTooLongError) Error() string {
	return "answer is longer than " + strconv.Itoa(maxBufferedBytes) + " bytes"
}

// BuffersFullError reports that no memory is left for a long response.
type BuffersFullError struct{}

// Error implements error.
func (*BuffersFullError) Error() string {
	return "long answers use all " + strconv.Itoa(sharedBufferBytes) + " bytes of their memory"
}

// bufferedBody is a response body that was read in full.
type bufferedBody struct {
	chunks [][]byte
	size   int
	// shared is the memory that counts towards the limit of budget.
	shared int64
	budget *semaphore.Weighted
}

// readBody reads a body to its end. It returns an *AnswerTooLongError, a
// *BuffersFullError, or the error of the body. The result must be released unless there
// is an error.
func readBody(body io.Reader, budget *semaphore.Weighted) (*bufferedBody, error) {
	b := &bufferedBody{budget: budget}
	var chunk []byte
	for {
		if len(chunk) == cap(chunk) {
			var err error
			if chunk, err = b.grow(); err != nil {
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
func (b *bufferedBody) grow() ([]byte, error) {
	if b.size > maxBufferedBytes {
		return nil, &AnswerTooLongError{}
	}
	n := min(max(b.size, minBufferChunkBytes), maxBufferChunkBytes)
	if b.size >= freeBufferBytes {
		if !b.budget.TryAcquire(int64(n)) {
			return nil, &BuffersFullError{}
		}
		b.shared += int64(n)
	}
	chunk := make([]byte, 0, n)
	b.chunks = append(b.chunks, chunk)
	return chunk, nil
}

// writeTo writes the body to a sink.
func (b *bufferedBody) writeTo(sink Sink) error {
	for _, chunk := range b.chunks {
		if err := sink.Write(chunk); err != nil {
			return err
		}
	}
	return nil
}

// release returns the memory of the body.
func (b *bufferedBody) release() {
	b.budget.Release(b.shared)
	b.chunks, b.shared = nil, 0
}
