package upstream

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
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

// minStatus and maxStatus are the bounds of the status codes of HTTP.
const (
	minStatus = 100
	maxStatus = 599
)

// CheckStatus returns an *InvalidStatusError for a status code that HTTP does not have. net/http
// accepts any three digits.
func CheckStatus(status int) error {
	if status < minStatus || status > maxStatus {
		return errors.WithStack(&InvalidStatusError{Status: status})
	}
	return nil
}

// InvalidStatusError reports a response with a status code that HTTP does not have.
type InvalidStatusError struct{ Status int }

// Error implements error.
func (e *InvalidStatusError) Error() string { return fmt.Sprintf("invalid status %03d", e.Status) }

// writers holds buffered writers for reuse.
var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferBytes) }}

// send writes a request to the connection. Its target is RequestURI, byte for byte, if
// that is set.
func (c *Conn) send(req *http.Request) error {
	w := writers.Get().(*bufio.Writer)
	w.Reset(c.Conn)
	var err error
	if strings.HasPrefix(req.RequestURI, "//") {
		// net/http takes this for a host and adds a scheme.
		err = req.Write(&targetWriter{Writer: w, target: req.RequestURI})
	} else {
		err = req.Write(w)
	}
	if err == nil {
		err = w.Flush()
	}
	w.Reset(nil)
	writers.Put(w)
	return err
}

// targetWriter replaces the target in the first line of a request.
type targetWriter struct {
	*bufio.Writer
	target string
	// line holds the first line until it is complete; done is true after that.
	line []byte
	done bool
}

// Write implements io.Writer.
func (t *targetWriter) Write(p []byte) (int, error) {
	if t.done {
		return t.Writer.Write(p)
	}
	t.line = append(t.line, p...)
	end := bytes.IndexByte(t.line, '\n')
	if end < 0 {
		return len(p), nil
	}
	t.done = true
	fields := bytes.SplitN(t.line[:end+1], []byte(" "), 3)
	if len(fields) != 3 {
		return 0, &RequestLineError{Line: string(t.line[:end])}
	}
	fields[1] = []byte(t.target)
	if _, err := t.Writer.Write(bytes.Join(fields, []byte(" "))); err != nil {
		return 0, err
	}
	if _, err := t.Writer.Write(t.line[end+1:]); err != nil {
		return 0, err
	}
	return len(p), nil
}

// WriteString implements io.StringWriter.
func (t *targetWriter) WriteString(s string) (int, error) { return t.Write([]byte(s)) }

// WriteByte implements io.ByteWriter.
func (t *targetWriter) WriteByte(b byte) error {
	_, err := t.Write([]byte{b})
	return err
}

// RequestLineError reports a request whose first line cannot be written.
type RequestLineError struct{ Line string }

// Error implements error.
func (e *RequestLineError) Error() string { return "invalid request line " + strconv.Quote(e.Line) }

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
