package testbed

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Chunk is one token as the engine sends it.
type Chunk struct {
	Choices []Choice `json:"choices"`
	// Sent is when the engine wrote the token, in nanoseconds of its clock.
	Sent int64 `json:"sent"`
}

// Choice is the only answer of a Chunk.
type Choice struct {
	Delta Delta `json:"delta"`
}

// Delta is the text of a token.
type Delta struct {
	Content string `json:"content"`
}

// engine sends the first token of an answer at once and then one each step. It
// knows how far each answer is and does nothing else.
type engine struct {
	step time.Duration

	mu sync.Mutex
	// sent counts the tokens of each answer under way, by request.
	sent map[string]int64
}

// NewEngine returns the handler of an engine that takes step for a token.
func NewEngine(step time.Duration) http.Handler {
	e := &engine{step: step, sent: make(map[string]int64)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.chat)
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /requests/{id}", e.progress)
	return mux
}

// progress tells how far an answer is: agents ask it of an engine that is
// silent for a second.
func (e *engine) progress(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	tokens, running := e.sent[r.PathValue("id")]
	e.mu.Unlock()
	// A broken connection is the reader's matter.
	_ = json.NewEncoder(w).Encode(struct {
		Running bool  `json:"running"`
		Tokens  int64 `json:"tokens"`
	}{running, tokens})
}

// count notes a token of an answer.
func (e *engine) count(id string, tokens int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sent[id] = tokens
}

// forget ends an answer.
func (e *engine) forget(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.sent, id)
}

func (e *engine) chat(w http.ResponseWriter, r *http.Request) {
	var body struct {
		MaxTokens int `json:"max_tokens"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, "the body is no JSON", http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	id := r.Header.Get("X-Request-Id")
	defer e.forget(id)
	ticker := time.NewTicker(e.step)
	defer ticker.Stop()
	for i := range body.MaxTokens {
		if i > 0 {
			select {
			case <-ticker.C:
			case <-r.Context().Done():
				return
			}
		}
		e.count(id, int64(i+1))
		if send(w, i) != nil || rc.Flush() != nil {
			return
		}
	}
	// A broken connection is the reader's matter.
	_, _ = w.Write([]byte("data: [DONE]\n\n"))
}

func send(w http.ResponseWriter, i int) error {
	text, err := json.Marshal(Chunk{Choices: []Choice{{Delta: Delta{Content: "t" + strconv.Itoa(i)}}}, Sent: time.Now().UnixNano()})
	if err != nil {
		return err
	}
	_, err = w.Write(append(append([]byte("data: "), text...), "\n\n"...))
	return err
}
