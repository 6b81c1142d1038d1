package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	pb "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
	"github.com/cyclamenpoint/cyclamenpoint/problem"
)

// answer writes the answer to one request. It implements dispatch.Sink.
type answer struct {
	w             http.ResponseWriter
	rc            *http.ResponseController
	headerWritten bool
	stream        bool
	// arrived is when the request arrived.
	arrived time.Time
	// events is the number of events of a stream, one for each token.
	events int
}

// Head writes the status and the header.
func (a *answer) Head(status int, headers []*pb.Header, stream bool) error {
	a.headerWritten = true
	a.stream = stream
	for _, h := range headers {
		a.w.Header().Add(h.GetName(), h.GetValue())
	}
	a.w.WriteHeader(status)
	return nil
}

// writeTimeout limits a write to a caller that does not read.
const writeTimeout = 10 * time.Second

// Data writes a part of the body, or one event of a stream.
func (a *answer) Data(data []byte) error {
	// If the connection supports no deadlines, slow callers are not limited.
	_ = a.rc.SetWriteDeadline(time.Now().Add(writeTimeout))
	if !a.stream {
		_, err := a.w.Write(data)
		return errors.Wrap(err, "write to the caller")
	}
	if a.events == 0 {
		firstTokenLatency.record(time.Since(a.arrived))
	}
	a.events++
	if err := a.writeEvent("", data); err != nil {
		return err
	}
	return errors.Wrap(a.rc.Flush(), "write to the caller")
}

// writeEvent writes a server-sent event. An empty name is left out.
func (a *answer) writeEvent(name string, data []byte) error {
	buf := make([]byte, 0, len(data)+len(name)+32)
	if name != "" {
		buf = append(buf, "event: "+name+"\n"...)
	}
	buf = append(buf, "data: "...)
	buf = append(buf, data...)
	buf = append(buf, "\n\n"...)
	_, err := a.w.Write(buf)
	return errors.Wrap(err, "write to the caller")
}

// finish ends a complete answer. A stream gets its terminator only here, so
// that an incomplete one has none.
func (a *answer) finish() {
	requestVars.Add("answers", 1)
	if a.stream {
		// A caller that has disconnected does not read the answer.
		_ = a.writeEvent("", []byte("[DONE]"))
	}
}

// fail writes the problem as the answer, or as the last event of a stream that
// has already started.
func (a *answer) fail(p *problem.Problem) {
	requestVars.Add(p.Kind.Name, 1)
	if !a.headerWritten {
		p.Write(a.w)
		return
	}
	if !a.stream {
		// The header with the answer's length has been sent, so only closing
		// the connection marks the answer as incomplete.
		panic(http.ErrAbortHandler)
	}
	_ = a.writeEvent("error", p.JSON())
}

// model is a model in the list of models.
type model struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

// modelList is the list of models.
type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

// models answers with the models of the configuration.
func (e *Entry) models(w http.ResponseWriter, r *http.Request) {
	in := e.authenticate(w, r)
	if in == nil {
		return
	}
	list := modelList{Object: "list", Data: []model{}}
	for _, m := range in.snapshot.Deployment.Models {
		list.Data = append(list.Data, model{ID: m.Name, Object: "model"})
	}
	w.Header().Set("Content-Type", "application/json")
	// A caller that has disconnected does not read the answer.
	_ = json.NewEncoder(w).Encode(list)
}
