package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cyclamenpoint/cyclamenpoint/problem"
)

// maxCrashes is the largest number of endpoints that one request may crash before
// it is quarantined.
const maxCrashes = 3

// TestCrashingRequestIsQuarantined repeats a request that crashes its endpoint
// through both entry nodes, while other requests run. The request must be
// quarantined after at most maxCrashes crashes, and the others must complete.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	const crashingPrompt, others, tokens = "xyzzy", 8, 20
	d, err := Start(Options{StepTime: testStepTime, CrashOn: crashingPrompt})
	assert.NilError(t, err)
	defer func() { assert.NilError(t, d.Stop(context.Background())) }()
	var ended sync.WaitGroup
	failures := make(chan string, others)
	for i := range others {
		ended.Go(func() {
			prompt := fmt.Sprintf("other %d", i)
			if text := generateUntilComplete(t, d, i, prompt, tokens); text != answerText(prompt, tokens) {
				failures <- fmt.Sprintf("%s: %q", prompt, text)
			}
		})
	}
	lastProblem := ""
	for i := 0; lastProblem != problem.Quarantined.Name; i++ {
		resp := post(t, d.CallerURLs()[i%2]+"/v1/chat/completions", chatBody(crashingPrompt, 2), http.Header{})
		lastProblem, _ = decodeProblem(t, resp)
	}
	for i := range 4 {
		resp := post(t, d.CallerURLs()[i%2]+"/v1/chat/completions", chatBody(crashingPrompt, 2), http.Header{})
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	ended.Wait()
	close(failures)
	for failure := range failures {
		t.Error(failure)
	}
	crashes := 0
	for i := range engineCount {
		crashes += d.engines.Rank(i).Crashes()
	}
	assert.Assert(t, crashes >= 1 && crashes <= maxCrashes, "%d crashes", crashes)
}

// generateUntilComplete repeats a generation while it is rejected or interrupted, as
// callers do, and returns the complete text. Even and odd values of entry select the
// first and the second entry node.
func generateUntilComplete(t *testing.T, d *Demo, entry int, prompt string, tokens int) string {
	for {
		resp := post(t, d.CallerURLs()[entry%2]+"/v1/chat/completions", chatBody(prompt, tokens), http.Header{})
		text, done := readStream(resp.Body)
		resp.Body.Close()
		if done {
			return text
		}
	}
}
