package testbed

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Chunk is one token in the format in which the engine sends it.
type Chunk struct {
	Choices []Choice `json:"choices"`
	// Sent is when the engine wrote the token, as a Unix time in nanoseconds.
	Sent int64 `json:"sent"`
}

// Choice is the single choice of a Chunk.
type Choice struct {
	Delta Delta `json:"delta"`
}

// Delta is the text of a token.
type Delta struct {
	Content string `json:"content"`
}

// engine is a minimal inference engine. It sends the first token of an answer
// at once, then one token every stepTime, and reports the progress of each
// answer.
type engine struct {
	stepTime time.Duration

	mu sync.Mutex
	// sent counts the tokens of each unfinished answer, by request ID.
	sent map[string]int64
}

// NewEngine returns the handler of an engine that takes stepTime for a token.
func NewEngine(stepTime time.Duration) http.Handler {
	e := &engine{stepTime: stepTime, sent: make(map[string]int64)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.chat)
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /requests/{id}", e.progress)
	return mux
}

// progress reports how many tokens of an answer were sent. Agents request it
// when an engine has sent nothing for a second.
func (e *engine) progress(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	tokens, running := e.sent[r.PathValue("id")]
	e.mu.Unlock()
	// An error means that the connection has failed, which the client sees as well.
	_ = json.NewEncoder(w).Encode(struct {
		Running bool  `json:"running"`
		Tokens  int64 `json:"tokens"`
	}{running, tokens})
}

// setSent records the number of tokens of an answer that were sent.
func (e *engine) setSent(id string, tokens int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sent[id] = tokens
}

// remove removes an answer that has ended.
func (e *engine) remove(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.sent, id)
}

// chat answers a chat completion request with a stream of max_tokens tokens.
func (e *engine) chat(w http.ResponseWriter, r *http.Request) {
	var body struct {
		MaxTokens int `json:"max_tokens"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, "body is not valid JSON", http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	id := r.Header.Get("X-Request-Id")
	defer e.remove(id)
	ticker := time.NewTicker(e.stepTime)
	defer ticker.Stop()
	for i := range body.MaxTokens {
		if i > 0 {
			select {
			case <-ticker.C:
			case <-r.Context().Done():
				return
			}
		}
		e.setSent(id, int64(i+1))
		if send(w, i) != nil || rc.Flush() != nil {
			return
		}
	}
	// An error means that the connection has failed, which the client sees as well.
	_, _ = w.Write([]byte("data: [DONE]\n\n"))
}

// send writes the token with index i.
func send(w http.ResponseWriter, i int) error {
	text, err := json.Marshal(Chunk{Choices: []Choice{{Delta: Delta{Content: "t" + strconv.Itoa(i)}}}, Sent: time.Now().UnixNano()})
	if err != nil {
		return err
	}
	_, err = w.Write(append(append([]byte("data: "), text...), "\n\n"...))
	return err
}
