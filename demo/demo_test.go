package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenpoint/cyclamenpoint/problem"
	enginestandin "github.com/cyclamenpoint/cyclamenpoint/standin/engine"
	servicestandin "github.com/cyclamenpoint/cyclamenpoint/standin/service"
)

// testStepTime is long enough for a small CI machine to run a hundred streams.
const testStepTime = 100 * time.Millisecond

// startDemo starts a demo on free ports.
func startDemo(t *testing.T) *Demo {
	t.Helper()
	d, err := Start(Options{StepTime: testStepTime})
	assert.NilError(t, err)
	return d
}

func post(t *testing.T, url, body string, header http.Header) *http.Response {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header = header.Clone()
	req.Header.Set("Authorization", "Bearer "+demoAPIKey)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	return resp
}

func chatBody(prompt string, tokens int) string {
	return fmt.Sprintf(`{"model":"demo","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, tokens, prompt)
}

// readStream returns the text of a stream and whether the stream ended with
// [DONE].
func readStream(body io.Reader) (text string, done bool) {
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, true
		}
		var chunk struct {
			Choices []struct {
				Delta struct{ Content string }
			}
		}
		if json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) > 0 {
			text += chunk.Choices[0].Delta.Content
		}
	}
	return text, false
}

// answerText returns the complete answer of the engines to a prompt.
func answerText(prompt string, tokens int) string {
	var text strings.Builder
	for i := range tokens {
		text.WriteString(enginestandin.Token("user:"+prompt+"\n", i))
	}
	return text.String()
}

// decodeProblem returns the kind and the outcome of a problem document.
func decodeProblem(t *testing.T, resp *http.Response) (kind, outcome string) {
	t.Helper()
	defer resp.Body.Close()
	assert.Equal(t, resp.Header.Get("Content-Type"), problem.ContentType)
	var doc struct{ Type, Outcome string }
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&doc))
	return doc.Type[strings.LastIndex(doc.Type, ":")+1:], doc.Outcome
}

// TestStopDuringHundredStreams guards against streams that break off when their
// entry node stops.
func TestStopDuringHundredStreams(t *testing.T) {
	// The streams last longer than a listener waits for its connections when it is
	// closed, so that they only complete if the node drains.
	const streams, tokens = 100, 70
	d := startDemo(t)
	var started, ended sync.WaitGroup
	failures := make(chan string, streams)
	for i := range streams {
		started.Add(1)
		ended.Go(func() {
			prompt := fmt.Sprintf("question %d", i)
			resp := post(t, d.CallerURLs()[i%2]+"/v1/chat/completions", chatBody(prompt, tokens), http.Header{})
			started.Done()
			defer resp.Body.Close()
			text, done := readStream(resp.Body)
			if !done || text != answerText(prompt, tokens) {
				failures <- fmt.Sprintf("stream %d: request %s: status %d, done=%v, text %q", i, resp.Header.Get("X-Request-Id"), resp.StatusCode, done, text)
			}
		})
	}
	started.Wait()
	url := d.CallerURLs()[0] + "/v1/chat/completions"
	stopped := make(chan error, 1)
	go func() { stopped <- d.Stop(context.Background()) }()
	awaitDraining(t, url)
	ended.Wait()
	assert.NilError(t, <-stopped)
	close(failures)
	for failure := range failures {
		t.Error(failure)
	}
}

// awaitDraining sends requests until the stopping node rejects one, as draining
// and not run.
func awaitDraining(t *testing.T, url string) {
	t.Helper()
	for {
		resp := post(t, url, chatBody("late", 1), http.Header{})
		if resp.StatusCode == http.StatusOK {
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			continue
		}
		kind, outcome := decodeProblem(t, resp)
		assert.Equal(t, kind, problem.Draining.Name)
		assert.Equal(t, outcome, string(problem.NotRun))
		return
	}
}

func TestRepeatedReservationGetsTheFirstAnswer(t *testing.T) {
	d := startDemo(t)
	defer func() { assert.NilError(t, d.Stop(context.Background())) }()
	header := http.Header{"Idempotency-Key": {"order-1"}}
	for i := range 4 {
		resp := post(t, d.CallerURLs()[i%2]+"/services/desk/reservations", `{"item":"belt"}`, header)
		text, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		resp.Body.Close()
		assert.Equal(t, resp.StatusCode, http.StatusCreated)
		var answer servicestandin.Answer
		assert.NilError(t, json.NewDecoder(bytes.NewReader(text)).Decode(&answer))
		assert.Equal(t, answer, servicestandin.Answer{Key: "order-1", Run: 1})
	}
	assert.Equal(t, d.service.Runs("order-1"), 1)
}

func TestProblemsOfInvalidRequests(t *testing.T) {
	d := startDemo(t)
	defer func() { assert.NilError(t, d.Stop(context.Background())) }()
	chat := d.CallerURLs()[0] + "/v1/chat/completions"
	desk := d.CallerURLs()[0] + "/services/desk"
	tests := []struct {
		name, url, body string
		kind            problem.Kind
	}{
		{"invalid JSON", chat, "{", problem.BadRequest},
		{"no messages", chat, `{"model":"demo"}`, problem.BadRequest},
		{"unknown model", chat, `{"model":"other","messages":[{"role":"user","content":"x"}]}`, problem.NoModel},
		{"too many tokens", chat, chatBody("x", maxTokens+1), problem.BadRequest},
		{"no idempotency key", desk + "/reservations", "{}", problem.IdempotencyKeyMissing},
		{"unknown route", desk + "/other", "{}", problem.NoRoute},
		{"unknown service", d.CallerURLs()[0] + "/services/other/x", "{}", problem.NoRoute},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			resp := post(t, test.url, test.body, http.Header{})
			assert.Equal(t, resp.StatusCode, test.kind.Status)
			assert.Assert(t, resp.Header.Get("X-Request-Id") != "")
			kind, outcome := decodeProblem(t, resp)
			assert.Equal(t, kind, test.kind.Name)
			assert.Equal(t, outcome, string(test.kind.Outcome))
		})
	}
}

func TestWrongAPIKey(t *testing.T) {
	d := startDemo(t)
	defer func() { assert.NilError(t, d.Stop(context.Background())) }()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, d.CallerURLs()[0]+"/v1/models", nil)
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer wrong")
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusUnauthorized)
	kind, outcome := decodeProblem(t, resp)
	assert.Equal(t, kind, problem.BadAPIKey.Name)
	assert.Equal(t, outcome, string(problem.Refused))
}

func TestErrorNamesThePortInUse(t *testing.T) {
	d := startDemo(t)
	defer func() { assert.NilError(t, d.Stop(context.Background())) }()
	address := strings.TrimPrefix(d.CallerURLs()[0], "http://")
	_, err := Start(Options{Listen: address, StepTime: testStepTime})
	assert.ErrorContains(t, err, address)
}
