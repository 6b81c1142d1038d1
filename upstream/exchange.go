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
	// maxForeign bounds the answers to other requests that are skipped before
	// the right one.
	maxForeign = 3
	// maxSkipped bounds the body of such an answer, in bytes.
	maxSkipped = 64 << 10
	// writeBuffer holds a request's head and a usual body.
	writeBuffer = 4 << 10
)

// foreignError says that a connection brought answers to other requests only.
type foreignError struct{}

// Error implements error.
func (foreignError) Error() string { return "only answers to other requests arrived" }

var errForeign = foreignError{}

// writers are reused between requests.
var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBuffer) }}

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

// skip reads an answer that belongs to another request. One without a length
// cannot be skipped.
func skip(resp *http.Response) error {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return errForeign
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkipped))
	if err != nil {
		return err
	}
	if n == maxSkipped {
		return errForeign
	}
	return nil
}

// Reusable tells whether the connection of a whole answer may carry another
// request, and how long the endpoint keeps it open; zero means unknown.
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
