package upstream

import (
	"net"
	"strconv"
)

// maxHeadBytes bounds the status line and the headers of a response. A faulty endpoint
// may send bytes without end.
const maxHeadBytes = 64 << 10

// HeadTooLongError reports that the head of a response is longer than the limit.
type HeadTooLongError struct{}

// Error implements error.
func (*HeadTooLongError) Error() string {
	return "the head of the response is longer than " + strconv.Itoa(maxHeadBytes) + " bytes"
}

// headReader reads from a connection. While limited is set it fails after left bytes.
type headReader struct {
	conn    net.Conn
	limited bool
	left    int
}

// limitHead starts a limit of maxHeadBytes for the bytes that are read until
// unlimited is called.
func (r *headReader) limitHead() { r.limited, r.left = true, maxHeadBytes }

func (r *headReader) unlimited() { r.limited = false }

// Read implements io.Reader.
func (r *headReader) Read(p []byte) (int, error) {
	if !r.limited {
		return r.conn.Read(p)
	}
	if r.left <= 0 {
		return 0, &HeadTooLongError{}
	}
	n, err := r.conn.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}
