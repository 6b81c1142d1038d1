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

// crashBound is how many endpoints one request may crash in the deployment.
const crashBound = 3

// TestPoisonRequestIsQuarantined sends a request that crashes its endpoint over
// and over through both entry nodes, amid innocent ones.
func TestPoisonRequestIsQuarantined(t *testing.T) {
	const poison, innocents, tokens = "xyzzy", 8, 20
	d, err := Start(Options{StepTime: testStep, CrashOn: poison})
	assert.NilError(t, err)
	defer func() { assert.NilError(t, d.Stop(context.Background())) }()
	var ended sync.WaitGroup
	wrong := make(chan string, innocents)
	for i := range innocents {
		ended.Go(func() {
			prompt := fmt.Sprintf("innocent %d", i)
			if text := askUntilWhole(t, d, i, prompt, tokens); text != wholeText(prompt, tokens) {
				wrong <- fmt.Sprintf("%s: %q", prompt, text)
			}
		})
	}
	last := ""
	for i := 0; last != problem.Quarantined.Name; i++ {
		resp := post(t, d.CallerURLs()[i%2]+"/v1/chat/completions", chatBody(poison, 2), http.Header{})
		last, _ = decodeProblem(t, resp)
	}
	for i := range 4 {
		resp := post(t, d.CallerURLs()[i%2]+"/v1/chat/completions", chatBody(poison, 2), http.Header{})
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	ended.Wait()
	close(wrong)
	for w := range wrong {
		t.Error(w)
	}
	crashes := 0
	for i := range engines {
		crashes += d.engines.Rank(i).Crashes()
	}
	assert.Assert(t, crashes >= 1 && crashes <= crashBound, "%d crashes", crashes)
}

// askUntilWhole repeats a generation while it is refused or broken off, as
// callers do, and returns the whole text.
func askUntilWhole(t *testing.T, d *Demo, i int, prompt string, tokens int) string {
	for {
		resp := post(t, d.CallerURLs()[i%2]+"/v1/chat/completions", chatBody(prompt, tokens), http.Header{})
		text, done := readStream(resp.Body)
		resp.Body.Close()
		if done {
			return text
		}
	}
}
