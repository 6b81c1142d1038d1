package agent

import (
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/cyclamenpoint/cyclamenpoint/engine"
	pb "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
)

// heartbeatEvery is how often an attempt with nothing else to send shows that
// its connection is alive.
const heartbeatEvery = time.Second

// sender sends the frames of one attempt, with heartbeats in between.
type sender struct {
	stream  *connect.ServerStream[pb.ExecuteResponse]
	attempt *pb.AttemptId
	stop    chan struct{}
	done    chan struct{}

	mu     sync.Mutex
	quiet  bool
	queued bool
	bytes  int64
	keep   *record
	// whole is true once the endpoint's whole answer has been sent.
	whole bool
	// news goes out with the last frame.
	news []byte
}

// record keeps an answer for replay.
type record struct {
	head *pb.AttemptHead
	body []byte
}

func newSender(stream *connect.ServerStream[pb.ExecuteResponse], attempt *pb.AttemptId) *sender {
	s := &sender{stream: stream, attempt: attempt, stop: make(chan struct{}), done: make(chan struct{}), queued: true}
	go s.heartbeats()
	return s
}

// close ends the heartbeats; no frame may follow.
func (s *sender) close() {
	close(s.stop)
	<-s.done
}

func (s *sender) heartbeats() {
	defer close(s.done)
	ticker := time.NewTicker(heartbeatEvery)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-ticker.C:
			s.heartbeat()
		}
	}
}

// heartbeat sends one unless another frame was sent since the last tick.
func (s *sender) heartbeat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.quiet {
		s.quiet = true
		return
	}
	// A stream that cannot be written to is noticed by the next frame.
	_ = s.sendLocked(&pb.ExecuteResponse{Frame: &pb.ExecuteResponse_Heartbeat{
		Heartbeat: &pb.AttemptHeartbeat{Queued: s.queued},
	}})
}

func (s *sender) sendLocked(frame *pb.ExecuteResponse) error {
	frame.Attempt = s.attempt
	return errors.Wrap(s.stream.Send(frame), "send a frame")
}

func (s *sender) send(frame *pb.ExecuteResponse) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quiet = false
	return s.sendLocked(frame)
}

// started marks the attempt as out of the queue.
func (s *sender) started() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queued = false
}

// Head implements engine.Sink.
func (s *sender) Head(status int, headers []engine.Header) error {
	head := &pb.AttemptHead{Status: int32(status)}
	for _, h := range headers {
		head.Headers = append(head.Headers, &pb.Header{Name: h.Name, Value: h.Value})
	}
	if s.keep != nil {
		s.keep.head = head
	}
	return s.pass(&pb.ExecuteResponse{Frame: &pb.ExecuteResponse_Head{Head: head}})
}

// Data implements engine.Sink.
func (s *sender) Data(data []byte, tokens int64) error {
	frame := &pb.AttemptData{Offset: s.bytes, Data: data, TokenOffset: tokens}
	s.bytes += int64(len(data))
	if s.keep != nil {
		s.keep.body = append(s.keep.body, data...)
	}
	return s.pass(&pb.ExecuteResponse{Frame: &pb.ExecuteResponse_Data{Data: frame}})
}

// pass sends a frame of the answer. An answer that is kept for replay must be
// taken from the endpoint to its end, even when its caller has gone.
func (s *sender) pass(frame *pb.ExecuteResponse) error {
	err := s.send(frame)
	if s.keep != nil {
		return nil
	}
	return err
}

// end sends the last frame of an attempt that may have run.
func (s *sender) end(outcome pb.Outcome, detail string) error {
	s.whole = outcome == pb.Outcome_OUTCOME_DONE
	return s.send(&pb.ExecuteResponse{Frame: &pb.ExecuteResponse_End{End: &pb.AttemptEnd{
		TotalBytes: s.bytes, Outcome: outcome, Detail: detail, News: s.news,
	}}})
}

// replayed ends an answer that an earlier run gave.
func (s *sender) replayed() error {
	return s.send(&pb.ExecuteResponse{Frame: &pb.ExecuteResponse_End{End: &pb.AttemptEnd{
		TotalBytes: s.bytes, Outcome: pb.Outcome_OUTCOME_DONE, Replayed: true,
	}}})
}

// refuse sends the proof that the attempt did not run.
func (s *sender) refuse(refused *pb.AttemptRefused) error {
	return s.send(&pb.ExecuteResponse{Frame: &pb.ExecuteResponse_Refused{Refused: refused}})
}
