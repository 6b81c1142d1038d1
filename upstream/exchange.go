package upstream

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maxStale bounds the responses to other requests that are skipped before the
	// matching one.
	maxStale = 3
	// maxSkippedBytes bounds the body of a skipped response.
	maxSkippedBytes = 64 << 10
	// writeBufferBytes is enough for the headers and the body of most requests.
	writeBufferBytes = 4 << 10
)

// staleError reports that the connection delivered only responses to other
// requests, or one that cannot be skipped.
type staleError struct{}

// Error implements error.
func (staleError) Error() string { return "only answers to other requests arrived" }

var errStale = staleError{}

// writers holds buffered writers for reuse.
var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferBytes) }}

// send writes a request to the connection.
func (c *Conn) send(req *http.Request) error {
	w := writers.Get().(*bufio.Writer)
	w.Reset(c.Conn)
	err := req.Write(w)
	if err == nil {
		err = w.Flush()
	}
	w.Reset(nil)
	writers.Put(w)
	return err
}

// SkipBody reads and discards the body of a response that is not for the caller. It
// returns an error, after which the connection must be discarded, if the body is longer
// than maxSkippedBytes or ends only with the connection.
func SkipBody(resp *http.Response) error {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return errStale
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBytes))
	if err != nil {
		return err
	}
	if n == maxSkippedBytes {
		return errStale
	}
	return nil
}

// Reusable reports whether the connection may carry another request after a
// complete response, and how long the endpoint keeps the idle connection open,
// according to the response's Keep-Alive header. Zero means unknown.
func Reusable(resp *http.Response) (idle time.Duration, ok bool) {
	if resp.Close || (resp.ContentLength < 0 && len(resp.TransferEncoding) == 0) {
		return 0, false
	}
	for _, part := range strings.Split(resp.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && name == "timeout" {
			return time.Duration(seconds) * time.Second, true
		}
	}
	return 0, true
}
