package command

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenpoint/cyclamenpoint/demo"
)

// site is a running demo with the options that reach its operators' listeners.
type site struct {
	demo    *demo.Demo
	options []string
}

func startSite(t *testing.T) *site {
	t.Helper()
	d, err := demo.Start(demo.Options{StepTime: 20 * time.Millisecond})
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, d.Stop(context.Background())) })
	secret := filepath.Join(t.TempDir(), "secret")
	assert.NilError(t, os.WriteFile(secret, []byte(demo.Secret+"\n"), 0o600))
	s := &site{demo: d, options: []string{"--secret-file", secret}}
	for _, address := range d.OperatorAddresses() {
		s.options = append(s.options, "--node", address)
	}
	return s
}

// run runs a command on the site.
func (s *site) run(args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = Run(append(args, s.options...), &o, &e)
	return code, o.String(), e.String()
}

// mustRun runs a command that has to succeed.
func (s *site) mustRun(t *testing.T, args ...string) string {
	t.Helper()
	code, out, errOut := s.run(args...)
	assert.Equal(t, code, ExitOK, "%v: %s", args, errOut)
	return out
}

// file writes the configuration in force, changed by edit, to a file.
func (s *site) file(t *testing.T, edit func(string) string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "next.yaml")
	assert.NilError(t, os.WriteFile(name, []byte(edit(s.mustRun(t, "config", "show"))), 0o600))
	return name
}

// until repeats a command until its output has want; the test's own time limit
// ends a wait in vain.
func (s *site) until(t *testing.T, want string, args ...string) {
	t.Helper()
	for {
		_, out, _ := s.run(args...)
		if strings.Contains(out, want) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func TestOperatorsHandOverAConfiguration(t *testing.T) {
	s := startSite(t)
	assert.Assert(t, strings.Contains(s.mustRun(t, "config", "show"), "# version 1,"))
	smaller := s.file(t, func(text string) string { return strings.Replace(text, "max_tokens: 10000", "max_tokens: 9000", 1) })
	diff := s.mustRun(t, "config", "diff", smaller)
	assert.Equal(t, diff, "~ models[demo].max_tokens: \"10000\" -> \"9000\"\n")
	out := s.mustRun(t, "config", "apply", smaller, "--operator", "anna", "--based-on", "1")
	assert.Assert(t, strings.HasPrefix(out, "accepted as version 2, hash "), out)
	s.until(t, "max_tokens: 9000", "config", "show")
	assert.Assert(t, strings.Contains(s.mustRun(t, "config", "show"), "handed over by anna"))

	again := s.mustRun(t, "config", "apply", smaller, "--operator", "anna", "--based-on", "1")
	assert.Assert(t, strings.HasPrefix(again, "accepted as version 2, hash "), again)

	other := s.file(t, func(text string) string { return strings.Replace(text, "max_tokens: 9000", "max_tokens: 8000", 1) })
	code, _, errOut := s.run("config", "apply", other, "--operator", "ben", "--based-on", "1")
	assert.Equal(t, code, ExitConflict)
	assert.Assert(t, strings.Contains(errOut, "anna handed over version 2"), errOut)
}

func TestOperatorsDrainAFailureDomain(t *testing.T) {
	s := startSite(t)
	out := s.mustRun(t, "drain", "failure_domain", "demo-a")
	assert.Assert(t, strings.Contains(out, "+ weights[demo-a].percent: \"0\""), out)
	s.until(t, "# version 2", "config", "show")
	for range 30 {
		endpoint := s.endpointOf(t, s.ask(t))
		assert.Assert(t, endpoint != "engine-0" && endpoint != "engine-3" && endpoint != "engine-6", endpoint)
	}
	s.mustRun(t, "undrain", "failure_domain", "demo-a")
	code, _, errOut := s.run("drain", "failure_domain", "demo-z")
	assert.Equal(t, code, ExitFailure)
	assert.Assert(t, strings.Contains(errOut, "no failure_domain called demo-z"), errOut)
}

// ask makes one short generation and returns its request's identifier.
func (s *site) ask(t *testing.T) string {
	t.Helper()
	body := `{"model":"demo","max_tokens":1,"messages":[{"role":"user","content":"hello"}]}`
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.demo.CallerURLs()[0]+"/v1/chat/completions", strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer demo-key")
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	var answer struct{ Object string }
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&answer))
	_, _ = io.Copy(io.Discard, resp.Body)
	assert.Equal(t, answer.Object, "chat.completion")
	return resp.Header.Get("X-Request-Id")
}

// endpointOf asks where a request went.
func (s *site) endpointOf(t *testing.T, requestID string) string {
	t.Helper()
	out := s.mustRun(t, "explain", requestID)
	_, after, found := strings.Cut(out, "attempt 1 goes to endpoint ")
	assert.Assert(t, found, out)
	name, _, _ := strings.Cut(after, ":")
	return name
}

func TestStatusShowsTheNodes(t *testing.T) {
	s := startSite(t)
	for _, want := range []string{"entry-0", "entry-1", "yes", "node engine-7 as entry-0 sees it:"} {
		s.until(t, want, "status")
	}
	code, _, errOut := s.run("explain", "nothing")
	assert.Equal(t, code, ExitFailure)
	assert.Assert(t, strings.Contains(errOut, "none of the 2 nodes asked remembers request nothing"), errOut)
	assert.Assert(t, strings.HasPrefix(s.mustRun(t, "claims", "list"), "STATE"))
	assert.Assert(t, strings.HasPrefix(s.mustRun(t, "quarantine", "list"), "STATE"))
}

func TestWrongSecretIsTurnedAway(t *testing.T) {
	s := startSite(t)
	wrong := filepath.Join(t.TempDir(), "wrong")
	assert.NilError(t, os.WriteFile(wrong, []byte("another-secret-of-16"), 0o600))
	var out, errOut bytes.Buffer
	code := Run([]string{"status", "--secret-file", wrong, "--node", s.demo.OperatorAddresses()[0]}, &out, &errOut)
	assert.Equal(t, code, ExitFailure)
	assert.Assert(t, !strings.Contains(out.String()+errOut.String(), demo.Secret))
}
