package gateway

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/cyclamenpoint/cyclamenpoint/connlimit"
	"github.com/cyclamenpoint/cyclamenpoint/membudget"
	"github.com/cyclamenpoint/cyclamenpoint/problem"
)

const (
	// memoryRetryAfter is the Retry-After of a request that finds no memory: by then those
	// that make no progress have lost theirs.
	memoryRetryAfter = time.Second
)

// Causes for which a body is refused, as the metrics show them.
const (
	causeBodyMemory  = "body-memory"
	causeBodyStalled = "body-stalled"
)

// body is the body of a request. Its memory must be released when no attempt needs it.
type body struct {
	first  []byte
	rest   [][]byte
	memory *membudget.Reservation
}

func (b *body) release() {
	if b.memory != nil {
		b.memory.Release()
	}
}

// readBody reads the body of a request up to limit bytes; zero means no limit. Memory is
// reserved as the bytes arrive. If there is none, or the body makes no progress while others
// wait for memory, the request is refused; it has not run.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, id string, limit int64) (body, *problem.Problem) {
	if r.ContentLength == 0 {
		return body{}, nil
	}
	if limit > 0 {
		r.Body = http.MaxBytesReader(w, r.Body, limit)
	}
	b := body{memory: g.memory.Open(connlimit.Caller(r.Context()))}
	controller := http.NewResponseController(w)
	var stalled atomic.Bool
	b.memory.SetRevocable(func() {
		stalled.Store(true)
		// This fails only if the connection is closed.
		_ = controller.SetReadDeadline(time.Unix(1, 0))
	})
	var err error
	b.first, b.rest, err = b.memory.ReadPieces(r.Context(), r.Body, r.ContentLength)
	// Once it is not revocable, the read deadline can no longer end the request.
	b.memory.SetRevocable(nil)
	if err == nil && !b.memory.Revoked() {
		return b, nil
	}
	b.release()
	w.Header().Set("Connection", "close")
	var tooLarge *http.MaxBytesError
	var full *membudget.FullError
	p := &problem.Problem{Kind: problem.Overloaded, RequestID: id, RetryAfter: memoryRetryAfter}
	switch {
	case stalled.Load() || b.memory.Revoked():
		p.Detail = "the body makes no progress"
		g.refusals.Refused(causeBodyStalled)
	case errors.As(err, &full):
		p.Detail = err.Error()
		g.refusals.Refused(causeBodyMemory)
	case errors.As(err, &tooLarge):
		p = &problem.Problem{Kind: problem.TooLarge, RequestID: id, Detail: err.Error()}
	default:
		p = &problem.Problem{Kind: problem.BadRequest, RequestID: id, Detail: "body: " + err.Error()}
	}
	return body{}, p
}
