package site

import (
	"encoding/json"
	"net/http"
	"strconv"
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
// does nothing else.
type engine struct {
	step time.Duration
}

// Engine returns the handler of an engine that takes step for a token.
func Engine(step time.Duration) http.Handler {
	e := &engine{step: step}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.chat)
	mux.HandleFunc("/", e.rest)
	return mux
}

// rest answers all other questions as an engine that is well.
func (e *engine) rest(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		return
	}
	http.NotFound(w, r)
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
