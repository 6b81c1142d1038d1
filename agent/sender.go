package agent

import (
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/cyclamenpoint/cyclamenpoint/engine"
	pb "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
)

// heartbeatInterval is the interval of heartbeats on a stream without other
// frames. They show the entry node that the connection works.
const heartbeatInterval = time.Second

// sender sends the frames of one attempt, and heartbeats while there are none.
type sender struct {
	stream  *connect.ServerStream[pb.ExecuteResponse]
	attempt *pb.AttemptId
	stop    chan struct{}
	done    chan struct{}

	mu sync.Mutex
	// idle is true if no frame has been sent since the last tick.
	idle bool
	// queued is true until the attempt has left the admission queue.
	queued bool
	// sentBytes is how much of the answer's body has been sent.
	sentBytes int64
	// recording is nil unless the answer is stored for replay.
	recording *answerRecord
	// complete is true once the endpoint's complete answer has been sent.
	complete bool
	// facts holds the quarantine facts for the last frame, encoded as JSON.
	facts []byte
}

// answerRecord collects an answer for replay.
type answerRecord struct {
	head *pb.AttemptHead
	body []byte
}

func newSender(stream *connect.ServerStream[pb.ExecuteResponse], attempt *pb.AttemptId) *sender {
	s := &sender{stream: stream, attempt: attempt, stop: make(chan struct{}), done: make(chan struct{}), queued: true}
	go s.heartbeats()
	return s
}

// close stops the heartbeats. No frame may be sent after it.
func (s *sender) close() {
	close(s.stop)
	<-s.done
}

func (s *sender) heartbeats() {
	defer close(s.done)
	ticker := time.NewTicker(heartbeatInterval)
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

// heartbeat sends a heartbeat unless a frame was sent since the last tick.
func (s *sender) heartbeat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.idle {
		s.idle = true
		return
	}
	// If the stream is broken, sending the next frame returns the error.
	_ = s.sendLocked(&pb.ExecuteResponse{Frame: &pb.ExecuteResponse_Heartbeat{
		Heartbeat: &pb.AttemptHeartbeat{Queued: s.queued},
	}})
}

// sendLocked sends a frame. The caller holds mu.
func (s *sender) sendLocked(frame *pb.ExecuteResponse) error {
	frame.Attempt = s.attempt
	return errors.Wrap(s.stream.Send(frame), "send a frame")
}

func (s *sender) send(frame *pb.ExecuteResponse) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle = false
	return s.sendLocked(frame)
}

// started makes later heartbeats report that the attempt has left the queue.
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
	if s.recording != nil {
		s.recording.head = head
	}
	return s.forward(&pb.ExecuteResponse{Frame: &pb.ExecuteResponse_Head{Head: head}})
}

// Data implements engine.Sink.
func (s *sender) Data(data []byte, tokens int64) error {
	frame := &pb.AttemptData{Offset: s.sentBytes, Data: data, TokenOffset: tokens}
	s.sentBytes += int64(len(data))
	if s.recording != nil {
		s.recording.body = append(s.recording.body, data...)
	}
	return s.forward(&pb.ExecuteResponse{Frame: &pb.ExecuteResponse_Data{Data: frame}})
}

// forward sends a frame of the answer. It ignores an error if the answer is
// stored for replay, because that answer must be read to its end even if the
// caller has disconnected.
func (s *sender) forward(frame *pb.ExecuteResponse) error {
	err := s.send(frame)
	if s.recording != nil {
		return nil
	}
	return err
}

// end sends the last frame of an attempt that may have run.
func (s *sender) end(outcome pb.Outcome, detail string) error {
	s.complete = outcome == pb.Outcome_OUTCOME_DONE
	return s.send(&pb.ExecuteResponse{Frame: &pb.ExecuteResponse_End{End: &pb.AttemptEnd{
		TotalBytes: s.sentBytes, Outcome: outcome, Detail: detail, News: s.facts,
	}}})
}

// endReplay sends the last frame of a stored answer of an earlier run.
func (s *sender) endReplay() error {
	return s.send(&pb.ExecuteResponse{Frame: &pb.ExecuteResponse_End{End: &pb.AttemptEnd{
		TotalBytes: s.sentBytes, Outcome: pb.Outcome_OUTCOME_DONE, Replayed: true,
	}}})
}

// refuse sends the only frame of an attempt that did not run.
func (s *sender) refuse(refused *pb.AttemptRefused) error {
	return s.send(&pb.ExecuteResponse{Frame: &pb.ExecuteResponse_Refused{Refused: refused}})
}
