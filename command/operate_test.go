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

// testDeployment is a running demo with the options for calling its nodes.
type testDeployment struct {
	demo    *demo.Demo
	options []string
}

func startDeployment(t *testing.T) *testDeployment {
	t.Helper()
	d, err := demo.Start(demo.Options{StepTime: 20 * time.Millisecond})
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, d.Stop(context.Background())) })
	secret := filepath.Join(t.TempDir(), "secret")
	assert.NilError(t, os.WriteFile(secret, []byte(demo.Secret+"\n"), 0o600))
	s := &testDeployment{demo: d, options: []string{"--secret-file", secret}}
	for _, address := range d.OperatorAddresses() {
		s.options = append(s.options, "--node", address)
	}
	return s
}

// run runs a command against the deployment.
func (s *testDeployment) run(args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = Run(append(args, s.options...), &o, &e)
	return code, o.String(), e.String()
}

// mustRun runs a command that must succeed and returns its output.
func (s *testDeployment) mustRun(t *testing.T, args ...string) string {
	t.Helper()
	code, out, errOut := s.run(args...)
	assert.Equal(t, code, ExitOK, "%v: %s", args, errOut)
	return out
}

// editConfig writes the configuration in force, modified by edit, to a file and
// returns its path.
func (s *testDeployment) editConfig(t *testing.T, edit func(string) string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "next.yaml")
	assert.NilError(t, os.WriteFile(name, []byte(edit(s.mustRun(t, "config", "show"))), 0o600))
	return name
}

// waitForOutput repeats a command until its output contains want. The time limit of
// the test ends the wait if it never does.
func (s *testDeployment) waitForOutput(t *testing.T, want string, args ...string) {
	t.Helper()
	for {
		_, out, _ := s.run(args...)
		if strings.Contains(out, want) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func TestApplyConfiguration(t *testing.T) {
	s := startDeployment(t)
	assert.Assert(t, strings.Contains(s.mustRun(t, "config", "show"), "# version 1,"))
	smaller := s.editConfig(t, func(text string) string { return strings.Replace(text, "max_tokens: 10000", "max_tokens: 9000", 1) })
	diff := s.mustRun(t, "config", "diff", smaller)
	assert.Equal(t, diff, "~ models[demo].max_tokens: \"10000\" -> \"9000\"\n")
	out := s.mustRun(t, "config", "apply", smaller, "--operator", "anna", "--based-on", "1")
	assert.Assert(t, strings.HasPrefix(out, "accepted as version 2, hash "), out)
	s.waitForOutput(t, "max_tokens: 9000", "config", "show")
	assert.Assert(t, strings.Contains(s.mustRun(t, "config", "show"), "handed over by anna"))

	again := s.mustRun(t, "config", "apply", smaller, "--operator", "anna", "--based-on", "1")
	assert.Assert(t, strings.HasPrefix(again, "accepted as version 2, hash "), again)

	other := s.editConfig(t, func(text string) string { return strings.Replace(text, "max_tokens: 9000", "max_tokens: 8000", 1) })
	code, _, errOut := s.run("config", "apply", other, "--operator", "ben", "--based-on", "1")
	assert.Equal(t, code, ExitConflict)
	assert.Assert(t, strings.Contains(errOut, "anna handed over version 2"), errOut)
}

func TestDrainFailureDomain(t *testing.T) {
	s := startDeployment(t)
	out := s.mustRun(t, "drain", "failure_domain", "demo-a")
	assert.Assert(t, strings.Contains(out, "+ weights[demo-a].percent: \"0\""), out)
	s.waitForOutput(t, "# version 2", "config", "show")
	for range 30 {
		endpoint := s.endpointOf(t, s.generate(t))
		assert.Assert(t, endpoint != "engine-0" && endpoint != "engine-3" && endpoint != "engine-6", endpoint)
	}
	s.mustRun(t, "undrain", "failure_domain", "demo-a")
	code, _, errOut := s.run("drain", "failure_domain", "demo-z")
	assert.Equal(t, code, ExitFailure)
	assert.Assert(t, strings.Contains(errOut, "no failure_domain called demo-z"), errOut)
}

// send makes one short generation request and returns the answer, whose body the caller
// closes.
func (s *testDeployment) send(t *testing.T) *http.Response {
	t.Helper()
	body := `{"model":"demo","max_tokens":1,"messages":[{"role":"user","content":"hello"}]}`
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.demo.CallerURLs()[0]+"/v1/chat/completions", strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer demo-key")
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	return resp
}

// generate makes one short generation request and returns its request ID.
func (s *testDeployment) generate(t *testing.T) string {
	t.Helper()
	resp := s.send(t)
	defer resp.Body.Close()
	var answer struct{ Object string }
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&answer))
	_, _ = io.Copy(io.Discard, resp.Body)
	assert.Equal(t, answer.Object, "chat.completion")
	return resp.Header.Get("X-Request-Id")
}

// endpointOf returns the endpoint of the first attempt of a request.
func (s *testDeployment) endpointOf(t *testing.T, requestID string) string {
	t.Helper()
	out := s.mustRun(t, "explain", requestID)
	_, after, found := strings.Cut(out, "attempt 1 goes to endpoint ")
	assert.Assert(t, found, out)
	name, _, _ := strings.Cut(after, ":")
	return name
}

// TestStatusListsNodes also checks the output of explain for an unknown request and
// the headings of the lists of claims and fingerprints.
func TestStatusListsNodes(t *testing.T) {
	s := startDeployment(t)
	for _, want := range []string{"entry-0", "entry-1", "yes", "node engine-7 as entry-0 sees it:"} {
		s.waitForOutput(t, want, "status")
	}
	code, _, errOut := s.run("explain", "nothing")
	assert.Equal(t, code, ExitFailure)
	assert.Assert(t, strings.Contains(errOut, "none of the 2 nodes has a record of request nothing"), errOut)
	assert.Assert(t, strings.HasPrefix(s.mustRun(t, "claims", "list"), "STATE"))
	assert.Assert(t, strings.HasPrefix(s.mustRun(t, "quarantine", "list"), "STATE"))
}

// TestWrongSecretIsRejected also checks that the output does not reveal the
// deployment's secret.
func TestWrongSecretIsRejected(t *testing.T) {
	s := startDeployment(t)
	wrong := filepath.Join(t.TempDir(), "wrong")
	assert.NilError(t, os.WriteFile(wrong, []byte("another-secret-of-16"), 0o600))
	var out, errOut bytes.Buffer
	code := Run([]string{"status", "--secret-file", wrong, "--node", s.demo.OperatorAddresses()[0]}, &out, &errOut)
	assert.Equal(t, code, ExitFailure)
	assert.Assert(t, !strings.Contains(out.String()+errOut.String(), demo.Secret))
}
