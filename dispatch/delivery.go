package dispatch

import (
	"strings"

	pb "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
)

// delivery is what the caller has received so far, over all attempts. A stream
// is passed on piece by piece; any other answer only once it is whole.
type delivery struct {
	sink Sink
	// begun is true once the caller has received anything.
	begun bool
	// tokens counts those that the caller holds.
	tokens int64

	head     *pb.AttemptHead
	stream   bool
	received int64
	buffer   []byte
}

// startAttempt forgets what an abandoned attempt left undelivered.
func (d *delivery) startAttempt() {
	d.head = nil
	d.stream = false
	d.received = 0
	d.buffer = nil
}

func (d *delivery) setHead(h *pb.AttemptHead) {
	d.head = h
	for _, field := range h.GetHeaders() {
		if strings.EqualFold(field.GetName(), "Content-Type") {
			d.stream = strings.HasPrefix(field.GetValue(), "text/event-stream")
		}
	}
}

// continues tells whether the current attempt's answer can go on from what the
// caller holds: a stream that has begun is only continued by a stream.
func (d *delivery) continues() bool {
	return d.head != nil && (!d.begun || d.stream)
}

// add takes the next piece of the current attempt's answer.
func (d *delivery) add(piece *pb.AttemptData) error {
	d.received += int64(len(piece.GetData()))
	if !d.stream {
		d.buffer = append(d.buffer, piece.GetData()...)
		return nil
	}
	if err := d.begin(); err != nil {
		return err
	}
	if err := d.sink.Data(piece.GetData()); err != nil {
		return err
	}
	d.tokens = max(d.tokens, piece.GetTokenOffset())
	return nil
}

// begin passes on the head, once in the life of the request.
func (d *delivery) begin() error {
	if d.begun {
		return nil
	}
	d.begun = true
	return d.sink.Head(int(d.head.GetStatus()), d.head.GetHeaders(), d.stream)
}

// finish passes on an answer that was kept back until it was whole.
func (d *delivery) finish() error {
	if err := d.begin(); err != nil {
		return err
	}
	if d.stream {
		return nil
	}
	return d.sink.Data(d.buffer)
}
