package dispatch

import (
	"strings"

	pb "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
)

// delivery tracks what the caller has received so far, across all attempts. Streams are
// passed on as they arrive; any other answer is buffered until it is complete.
type delivery struct {
	sink Sink
	// headSent is true once the response head was sent to the caller.
	headSent bool
	// tokens is the number of tokens that the caller has received.
	tokens int64

	// head and stream describe the answer of the current attempt. received counts
	// its bytes, buffered holds them if it is not a stream.
	head     *pb.AttemptHead
	stream   bool
	received int64
	buffered []byte
}

// startAttempt discards what the previous attempt left undelivered.
func (d *delivery) startAttempt() {
	d.head = nil
	d.stream = false
	d.received = 0
	d.buffered = nil
}

// setHead stores the response head of the current attempt.
func (d *delivery) setHead(h *pb.AttemptHead) {
	d.head = h
	for _, field := range h.GetHeaders() {
		if strings.EqualFold(field.GetName(), "Content-Type") {
			d.stream = strings.HasPrefix(field.GetValue(), "text/event-stream")
		}
	}
}

// canContinue reports whether the answer of the current attempt can continue what the
// caller has received: a stream can only be continued by a stream.
func (d *delivery) canContinue() bool {
	return d.head != nil && (!d.headSent || d.stream)
}

// addData handles the next part of the current attempt's answer.
func (d *delivery) addData(data *pb.AttemptData) error {
	d.received += int64(len(data.GetData()))
	if !d.stream {
		d.buffered = append(d.buffered, data.GetData()...)
		return nil
	}
	if err := d.sendHead(); err != nil {
		return err
	}
	if err := d.sink.Data(data.GetData()); err != nil {
		return err
	}
	d.tokens = max(d.tokens, data.GetTokenOffset())
	return nil
}

// sendHead sends the response head to the caller, once per request.
func (d *delivery) sendHead() error {
	if d.headSent {
		return nil
	}
	d.headSent = true
	return d.sink.Head(int(d.head.GetStatus()), d.head.GetHeaders(), d.stream)
}

// finish sends a buffered answer to the caller once it is complete.
func (d *delivery) finish() error {
	if err := d.sendHead(); err != nil {
		return err
	}
	if d.stream {
		return nil
	}
	return d.sink.Data(d.buffered)
}
