package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	pb "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
	"github.com/cyclamenpoint/cyclamenpoint/problem"
)

// answer writes one answer to its caller. It implements dispatch.Sink.
type answer struct {
	w      http.ResponseWriter
	rc     *http.ResponseController
	begun  bool
	stream bool
	// arrived is when the request came.
	arrived time.Time
	// events counts those of a stream, one for each token.
	events int
}

// Head writes the status and the header.
func (a *answer) Head(status int, headers []*pb.Header, stream bool) error {
	a.begun = true
	a.stream = stream
	for _, h := range headers {
		a.w.Header().Add(h.GetName(), h.GetValue())
	}
	a.w.WriteHeader(status)
	return nil
}

// Data writes a piece of the body, or one event of a stream.
func (a *answer) Data(data []byte) error {
	if !a.stream {
		_, err := a.w.Write(data)
		return errors.Wrap(err, "write to the caller")
	}
	if a.events == 0 {
		firstTokens.record(time.Since(a.arrived))
	}
	a.events++
	if err := a.event("", data); err != nil {
		return err
	}
	return errors.Wrap(a.rc.Flush(), "write to the caller")
}

func (a *answer) event(name string, data []byte) error {
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

// finish ends a whole answer. Only a whole stream gets its terminator.
func (a *answer) finish() {
	figures.Add("answers", 1)
	if a.stream {
		// A caller that has gone does not read its answer.
		_ = a.event("", []byte("[DONE]"))
	}
}

// fail tells the caller that there is no answer, or that the stream that has
// begun is not whole.
func (a *answer) fail(p *problem.Problem) {
	figures.Add(p.Kind.Name, 1)
	if !a.begun {
		p.Write(a.w)
		return
	}
	if !a.stream {
		// The length is already promised; a broken connection is the only way
		// left to say that the answer is not whole.
		panic(http.ErrAbortHandler)
	}
	_ = a.event("error", p.JSON())
}

// model is one entry of the list of models.
type model struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

// modelList is the list of models.
type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

func (e *Entry) models(w http.ResponseWriter, r *http.Request) {
	in := e.receive(w, r)
	if in == nil {
		return
	}
	list := modelList{Object: "list", Data: []model{}}
	for _, m := range in.snapshot.Deployment.Models {
		list.Data = append(list.Data, model{ID: m.Name, Object: "model"})
	}
	w.Header().Set("Content-Type", "application/json")
	// A caller that has gone does not read its answer.
	_ = json.NewEncoder(w).Encode(list)
}
