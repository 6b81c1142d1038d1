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

// Header fields of the stand-in's protocol.
const (
	headerRequestID = "X-Request-Id"
	headerPriority  = "X-Priority"
	headerResume    = "X-Resume-Tokens"
)

const defaultMaxTokens = 16

// chatRequest is the part of a chat completion request that matters here.
type chatRequest struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
	Messages  []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
}

// Load is the stand-in's load report.
type Load struct {
	Waiting int   `json:"waiting"`
	Running int   `json:"running"`
	Slots   int   `json:"slots"`
	Step    int64 `json:"step"`
}

// Handler returns the rank's HTTP interface.
func (r *Rank) Handler() http.Handler {
	router := chi.NewRouter()
	router.Use(r.refuseWhileDown)
	router.Post("/v1/chat/completions", r.chat)
	router.Get("/health", r.health)
	router.Get("/load", r.load)
	router.Get("/cache/events", r.cacheEvents)
	router.Get("/requests/{id}", r.request)
	router.Post(engine.PathAttach, r.attach)
	router.Post(engine.PathOrders, r.order)
	router.Get(engine.PathOrders, r.stepNow)
	router.Get(engine.PathExperts, r.experts)
	return router
}

// refuseWhileDown breaks the connection, as a dead process does.
func (r *Rank) refuseWhileDown(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if !r.ready() {
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
	total := body.MaxTokens
	if total <= 0 {
		total = defaultMaxTokens
	}
	from, _ := strconv.Atoi(req.Header.Get(headerResume))
	if from < 0 || from > total {
		http.Error(w, "resume: outside the answer", http.StatusBadRequest)
		return
	}
	priority, _ := strconv.Atoi(req.Header.Get(headerPriority))
	id := req.Header.Get(headerRequestID)
	j := r.submit(id, promptOf(body), priority, from, total)
	if j == nil {
		panic(http.ErrAbortHandler)
	}
	defer r.cancel(j)
	if body.Stream {
		r.stream(w, req, j)
		return
	}
	r.whole(w, req, j)
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

// Token returns the token at a position of the answer to a prompt. It depends
// on both, so that a test can tell whose answer it holds.
func Token(prompt string, i int) string {
	h := fnv.New32a()
	_, _ = fmt.Fprintf(h, "%s|%d", prompt, i)
	return fmt.Sprintf("t%d.%08x ", i, h.Sum32())
}

func (r *Rank) stream(w http.ResponseWriter, req *http.Request, j *job) {
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	for sent := j.from; ; sent++ {
		select {
		case <-req.Context().Done():
			return
		case i, ok := <-j.tokens:
			if !ok {
				r.endStream(w, req, j, sent)
				return
			}
			if r.isSilent(j) {
				<-req.Context().Done()
				return
			}
			writeChunk(w, r.group.opts.Model, j.id, Token(j.prompt, i), nil)
			_ = rc.Flush()
		}
	}
}

func (r *Rank) endStream(w http.ResponseWriter, req *http.Request, j *job, sent int) {
	if r.isSilent(j) {
		<-req.Context().Done()
		return
	}
	if sent < j.total {
		panic(http.ErrAbortHandler)
	}
	reason := "length"
	writeChunk(w, r.group.opts.Model, j.id, "", &reason)
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

func (r *Rank) isSilent(j *job) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return j.gone
}

// chunk is one event of a streamed answer.
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

func writeChunk(w http.ResponseWriter, model, id, content string, reason *string) {
	text, _ := json.Marshal(chunk{
		ID: "chatcmpl-" + id, Object: "chat.completion.chunk", Model: model,
		Choices: []chunkChoice{{Delta: delta{Content: content}, FinishReason: reason}},
	})
	_, _ = fmt.Fprintf(w, "data: %s\n\n", text)
}

func (r *Rank) whole(w http.ResponseWriter, req *http.Request, j *job) {
	var text strings.Builder
	count := j.from
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
	if count < j.total {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, map[string]any{
		"id": "chatcmpl-" + j.id, "object": "chat.completion", "model": r.group.opts.Model,
		"choices": []any{map[string]any{
			"index": 0, "finish_reason": "length",
			"message": map[string]string{"role": "assistant", "content": text.String()},
		}},
		"usage": map[string]int{"completion_tokens": j.total, "prompt_tokens": len(j.blocks)},
	})
}

// Health is the stand-in's answer to a look at its health.
type Health struct {
	// BootID counts the starts of the rank's process.
	BootID string `json:"boot"`
}

func (r *Rank) health(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, Health{BootID: strconv.Itoa(1 + r.Crashes())})
}

func (r *Rank) load(w http.ResponseWriter, _ *http.Request) {
	step := r.group.Step()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trimReports()
	l := Load{Slots: r.group.opts.Slots, Step: step}
	if len(r.reports) > 0 {
		l.Waiting = r.reports[0].waiting
		l.Running = r.reports[0].running
	}
	writeJSON(w, l)
}

func (r *Rank) cacheEvents(w http.ResponseWriter, req *http.Request) {
	after, _ := strconv.ParseInt(req.URL.Query().Get("after"), 10, 64)
	old := time.Now().Add(-r.group.opts.ReportLag)
	r.mu.Lock()
	defer r.mu.Unlock()
	events := []cacheEvent{}
	for _, e := range r.cache.events {
		if e.Seq > after && e.at.Before(old) {
			events = append(events, e)
		}
	}
	writeJSON(w, events)
}

// Progress is what the rank knows of a request.
type Progress struct {
	Running bool `json:"running"`
	Tokens  int  `json:"tokens"`
}

func (r *Rank) request(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[chi.URLParam(req, "id")]
	if j == nil {
		writeJSON(w, Progress{})
		return
	}
	writeJSON(w, Progress{Running: true, Tokens: j.next})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
