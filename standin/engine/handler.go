package engine

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/cyclamenpoint/cyclamenpoint/engine"
)

// Header fields of the engine protocol.
const (
	headerRequestID    = "X-Request-Id"
	headerPriority     = "X-Priority"
	headerResumeTokens = "X-Resume-Tokens"
)

const defaultMaxTokens = 16

// chatRequest holds the fields of a chat completion request that the stand-in
// uses.
type chatRequest struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
	Messages  []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
}

// Load is the JSON load report of a rank.
type Load struct {
	Waiting int   `json:"waiting"`
	Running int   `json:"running"`
	Slots   int   `json:"slots"`
	Step    int64 `json:"step"`
}

// Handler returns the rank's HTTP handler.
func (r *Rank) Handler() http.Handler {
	router := chi.NewRouter()
	router.Use(r.abortWhileDown)
	router.Post("/v1/chat/completions", r.chat)
	router.Get("/health", r.health)
	router.Get("/load", r.loadReport)
	router.Get("/cache/events", r.cacheEvents)
	router.Get("/requests/{id}", r.progress)
	router.Post(engine.PathAttach, r.attach)
	router.Post(engine.PathOrders, r.order)
	router.Get(engine.PathOrders, r.currentStep)
	router.Get(engine.PathExperts, r.experts)
	return router
}

// abortWhileDown closes the connections of requests while the rank is down.
func (r *Rank) abortWhileDown(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if !r.up() {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, req)
	})
}

func (r *Rank) chat(w http.ResponseWriter, req *http.Request) {
	var body chatRequest
	if err := json.NewDecoder(req.Body).Decode(&body); err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
		return
	}
	if body.Model != r.group.opts.Model {
		http.Error(w, "model: not loaded", http.StatusNotFound)
		return
	}
	totalTokens := body.MaxTokens
	if totalTokens <= 0 {
		totalTokens = defaultMaxTokens
	}
	firstToken, _ := strconv.Atoi(req.Header.Get(headerResumeTokens))
	if firstToken < 0 || firstToken > totalTokens {
		http.Error(w, "resume: outside the answer", http.StatusBadRequest)
		return
	}
	priority, _ := strconv.Atoi(req.Header.Get(headerPriority))
	id := req.Header.Get(headerRequestID)
	j := r.submit(id, promptOf(body), priority, firstToken, totalTokens)
	if j == nil {
		panic(http.ErrAbortHandler)
	}
	defer r.cancel(j)
	if body.Stream {
		r.stream(w, req, j)
		return
	}
	r.answerComplete(w, req, j)
}

func promptOf(body chatRequest) string {
	var b strings.Builder
	for _, m := range body.Messages {
		b.WriteString(m.Role)
		b.WriteByte(':')
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

// Token returns the token at position i of the answer to a prompt. It depends on
// both, so that tests can verify that an answer belongs to its prompt.
func Token(prompt string, i int) string {
	h := fnv.New32a()
	_, _ = fmt.Fprintf(h, "%s|%d", prompt, i)
	return fmt.Sprintf("t%d.%08x ", i, h.Sum32())
}

// stream sends the tokens as events while they are computed.
func (r *Rank) stream(w http.ResponseWriter, req *http.Request, j *job) {
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	for position := j.firstToken; ; position++ {
		select {
		case <-req.Context().Done():
			return
		case i, ok := <-j.tokens:
			if !ok {
				r.endStream(w, req, j, position)
				return
			}
			if r.isHung(j) {
				<-req.Context().Done()
				return
			}
			writeChunk(w, r.group.opts.Model, j.id, Token(j.prompt, i), nil)
			_ = rc.Flush()
		}
	}
}

// endStream ends a stream after its last token. A stream that was cut short by a
// crash is aborted.
func (r *Rank) endStream(w http.ResponseWriter, req *http.Request, j *job, position int) {
	if r.isHung(j) {
		<-req.Context().Done()
		return
	}
	if position < j.totalTokens {
		panic(http.ErrAbortHandler)
	}
	finishReason := "length"
	writeChunk(w, r.group.opts.Model, j.id, "", &finishReason)
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

func (r *Rank) isHung(j *job) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return j.hung
}

// chunk is the JSON body of one event of a streamed answer.
type chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Model   string        `json:"model"`
	Choices []chunkChoice `json:"choices"`
}

type chunkChoice struct {
	Index        int     `json:"index"`
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Content string `json:"content,omitempty"`
}

func writeChunk(w http.ResponseWriter, model, id, content string, finishReason *string) {
	text, _ := json.Marshal(chunk{
		ID: "chatcmpl-" + id, Object: "chat.completion.chunk", Model: model,
		Choices: []chunkChoice{{Delta: delta{Content: content}, FinishReason: finishReason}},
	})
	_, _ = fmt.Fprintf(w, "data: %s\n\n", text)
}

// answerComplete sends the answer in one piece after its last token.
func (r *Rank) answerComplete(w http.ResponseWriter, req *http.Request, j *job) {
	var text strings.Builder
	count := j.firstToken
	for {
		select {
		case <-req.Context().Done():
			return
		case i, ok := <-j.tokens:
			if ok {
				text.WriteString(Token(j.prompt, i))
				count++
				continue
			}
		}
		break
	}
	if count < j.totalTokens {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, map[string]any{
		"id": "chatcmpl-" + j.id, "object": "chat.completion", "model": r.group.opts.Model,
		"choices": []any{map[string]any{
			"index": 0, "finish_reason": "length",
			"message": map[string]string{"role": "assistant", "content": text.String()},
		}},
		"usage": map[string]int{"completion_tokens": j.totalTokens, "prompt_tokens": len(j.blocks)},
	})
}

// Health is the JSON answer of the health check.
type Health struct {
	// BootID is the number of times that the rank's process has started. It
	// changes with each restart.
	BootID string `json:"boot"`
}

func (r *Rank) health(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, Health{BootID: strconv.Itoa(1 + r.Crashes())})
}

func (r *Rank) loadReport(w http.ResponseWriter, _ *http.Request) {
	step := r.group.Step()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trimLoadReportsLocked()
	l := Load{Slots: r.group.opts.Slots, Step: step}
	if len(r.loadReports) > 0 {
		l.Waiting = r.loadReports[0].waiting
		l.Running = r.loadReports[0].running
	}
	writeJSON(w, l)
}

func (r *Rank) cacheEvents(w http.ResponseWriter, req *http.Request) {
	after, _ := strconv.ParseInt(req.URL.Query().Get("after"), 10, 64)
	visibleBefore := time.Now().Add(-r.group.opts.ReportLag)
	r.mu.Lock()
	defer r.mu.Unlock()
	events := []cacheEvent{}
	for _, e := range r.cache.events {
		if e.Seq > after && e.at.Before(visibleBefore) {
			events = append(events, e)
		}
	}
	writeJSON(w, events)
}

// Progress is the JSON report on a request.
type Progress struct {
	// Running is true while the request is queued or running.
	Running bool `json:"running"`
	// Tokens is the position of the next token.
	Tokens int `json:"tokens"`
}

func (r *Rank) progress(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[chi.URLParam(req, "id")]
	if j == nil {
		writeJSON(w, Progress{})
		return
	}
	writeJSON(w, Progress{Running: true, Tokens: j.nextToken})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
