package tablestandin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/cyclamenpoint/cyclamenpoint/table"
)

// maxBodyBytes is the largest request body that the store accepts.
const maxBodyBytes = 16 << 20

// maxPageRows is the largest number of rows in a page.
const maxPageRows = 1000

// Handler serves the store over HTTP. Conditions are given by the standard
// conditional request headers.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows/{key}", s.serveGet)
	mux.HandleFunc("PUT /rows/{key}", s.servePut)
	mux.HandleFunc("DELETE /rows/{key}", s.serveDelete)
	mux.HandleFunc("GET /rows", s.serveList)
	mux.HandleFunc("POST /transactions", s.serveTransaction)
	return mux
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	row, changed, err := s.GetIfChanged(r.Context(), r.PathValue("key"), r.Header.Get("If-None-Match"))
	if err != nil {
		writeError(w, err)
		return
	}
	if !changed {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("ETag", row.ETag)
	w.Header().Set("Content-Type", "application/octet-stream")
	writeBody(w, row.Value)
}

func (s *Store) servePut(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	s.serveOp(w, r, table.Op{Kind: table.KindPut, Value: value})
}

func (s *Store) serveDelete(w http.ResponseWriter, r *http.Request) {
	s.serveOp(w, r, table.Op{Kind: table.KindDelete})
}

// serveOp applies one operation under the conditions in the request's headers.
func (s *Store) serveOp(w http.ResponseWriter, r *http.Request, op table.Op) {
	op.Key = r.PathValue("key")
	op.IfMatch = r.Header.Get("If-Match")
	op.IfAbsent = r.Header.Get("If-None-Match") == "*"
	// The write takes effect even if the caller disconnects during Faults.Delay.
	etags, err := s.Write(context.WithoutCancel(r.Context()), []table.Op{op})
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", etags[0])
	w.WriteHeader(http.StatusOK)
}

func (s *Store) serveList(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit < 1 || limit > maxPageRows {
		limit = maxPageRows
	}
	page, err := s.List(r.Context(), query.Get("prefix"), query.Get("after"), limit)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, page)
}

func (s *Store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var batch table.Batch
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&batch); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	// The write takes effect even if the caller disconnects during Faults.Delay.
	etags, err := s.Write(context.WithoutCancel(r.Context()), batch.Ops)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, table.BatchResult{ETags: etags})
}

// writeError answers with the status code of an error. If the outcome is
// unknown, it closes the connection instead.
func writeError(w http.ResponseWriter, err error) {
	var conflict table.ConflictError
	var limited table.RateLimitedError
	switch {
	case errors.As(err, &conflict):
		writeJSON(w, http.StatusPreconditionFailed, table.Conflicts(conflict))
	case errors.As(err, &limited):
		w.Header().Set("Retry-After", strconv.Itoa(int(limited.RetryAfter.Seconds())))
		w.WriteHeader(http.StatusTooManyRequests)
	case errors.As(err, new(table.NotFoundError)):
		w.WriteHeader(http.StatusNotFound)
	case errors.As(err, new(table.UnknownOutcomeError)):
		panic(http.ErrAbortHandler)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// writeJSON answers with a JSON body.
func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	writeBody(w, data)
}

// writeBody sends a body. A write error means that the caller has disconnected.
func writeBody(w http.ResponseWriter, data []byte) { _, _ = w.Write(data) }
