package command

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// validConfig is a small configuration without faults; tests replace single lines.
const validConfig = `name: sample
models:
  - name: m
    max_tokens: 16
    repeat: always
groups:
  - name: g
    model: m
    layers: 1
    experts: 4
    slots: 2
    expert_bytes: 1024
    objective: {skew: 1, move: 0.5}
services:
  - name: desk
    routes:
      - {method: POST, path: /orders, repeat: never, keep_answer_seconds: 60}
endpoints:
  - {name: e0, kind: engine, vm: v0, failure_domain: a, region: r, address: 10.0.0.1:1, agent: 10.0.0.1:2, group: g, rank: 0, concurrency: 4, weight: 100}
  - {name: e1, kind: engine, vm: v1, failure_domain: b, region: r, address: 10.0.0.2:1, agent: 10.0.0.2:2, group: g, rank: 1, concurrency: 4, weight: 100}
  - {name: w0, kind: service, vm: v2, failure_domain: a, region: r, address: 10.0.0.3:1, agent: 10.0.0.3:2, service: desk, concurrency: 4, weight: 100}
organisations:
  - name: o
    key_sha256: ["0000000000000000000000000000000000000000000000000000000000000000"]
    share: 1
`

// check runs "config check" on text and returns the exit code and what it
// printed, without the directory of the file.
func check(t *testing.T, text string) (code int, out, errOut string) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "c.yaml")
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	var o, e bytes.Buffer
	code = Run([]string{"config", "check", file}, &o, &e)
	strip := func(b bytes.Buffer) string { return strings.ReplaceAll(b.String(), filepath.Dir(file)+"/", "") }
	return code, strip(o), strip(e)
}

func TestConfigCheckAcceptsValidFile(t *testing.T) {
	code, out, errOut := check(t, validConfig)
	assert.Equal(t, errOut, "")
	assert.Equal(t, code, ExitOK)
	assert.Assert(t, strings.Contains(out, "deployment sample is valid: 3 endpoints"), out)
}

func TestConfigCheckReportsEachFault(t *testing.T) {
	tests := []struct {
		name, old, new string
		// line, field and hint must occur in the reported fault.
		line        int
		field, hint string
	}{
		{"not YAML", "models:", "models: [", 2, "(document)", "YAML"},
		{"unknown field", "    max_tokens: 16", "    max_tokens: 16\n    colour: red", 5, "models[0].colour", "known here: name, max_tokens, repeat"},
		{"field twice", "    share: 1", "    share: 1\n    share: 2", 26, "organisations[0].share", "once"},
		{"missing field", "    share: 1\n", "", 23, "organisations[0].share", "required"},
		{"text for a number", "max_tokens: 16", "max_tokens: many", 4, "models[0].max_tokens", "whole number"},
		{"number for a name", "name: sample", "name: 12", 1, "name", "quotes"},
		{"list for a mapping", "objective: {skew: 1, move: 0.5}", "objective: [1]", 13, "groups[0].objective", "skew, move"},
		{"no value", "    layers: 1", "    layers:", 9, "groups[0].layers", "leave the field out"},
		{"bad name", "name: sample", "name: Sample!", 1, "name", "a-z"},
		{"name twice", "name: e1, kind", "name: e0, kind", 20, "endpoints[1].name", "no other entry"},
		{"unknown model", "    model: m", "    model: n", 8, "groups[0].model", "entry of models"},
		{"bad repeat rule", "repeat: always", "repeat: sometimes", 5, "models[0].repeat", "always, unless-run"},
		{"bad kind", "kind: service", "kind: server", 21, "endpoints[2].kind", "engine, service"},
		{"host name instead of an IP address", "address: 10.0.0.3:1", "address: desk.local:1", 21, "endpoints[2].address", "IP number"},
		{"agent twice", "agent: 10.0.0.2:2", "agent: 10.0.0.1:2", 20, "endpoints[1].agent", "no other endpoint"},
		{"weight above 100", "service: desk, concurrency: 4, weight: 100", "service: desk, concurrency: 4, weight: 101", 21, "endpoints[2].weight", "0 to 100"},
		{"rank twice", "rank: 1", "rank: 0", 20, "endpoints[1].rank", "no other endpoint"},
		{"gap in the ranks", "rank: 1", "rank: 2", 7, "groups[0].name", "rank 1 is missing"},
		{"too few slots", "experts: 4", "experts: 5", 11, "groups[0].slots", "at least 3"},
		{"key without a hash", "0000000000000000000000000000000000000000000000000000000000000000", "demo-key", 24, "organisations[0].key_sha256[0]", "64 hexadecimal"},
		{"no weight in the objective", "{skew: 1, move: 0.5}", "{skew: 0, move: 0}", 13, "groups[0].objective", "above 0"},
		{"relative path", "path: /orders", "path: orders", 17, "services[0].routes[0].path", "begins with /"},
		{"answer kept for a repeatable route", "repeat: never", "repeat: always", 17, "services[0].routes[0].keep_answer_seconds", "left out"},
		{"evacuation without an endpoint", "organisations:", "evacuated: [d9]\norganisations:", 22, "evacuated[0]", "the failure_domain of at least one endpoint"},
		{"weight without an endpoint", "organisations:", "weights:\n  - {scope: vm, name: v9, percent: 0}\norganisations:", 23, "weights[0].name", "at least one endpoint"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			text := strings.Replace(validConfig, test.old, test.new, 1)
			assert.Assert(t, text != validConfig)
			code, out, errOut := check(t, text)
			assert.Equal(t, code, ExitFaults)
			assert.Equal(t, out, "")
			want := fmt.Sprintf("c.yaml:%d: %s: ", test.line, test.field)
			found := false
			for line := range strings.SplitSeq(errOut, "\n") {
				found = found || (strings.HasPrefix(line, want) && strings.Contains(line, test.hint))
			}
			assert.Assert(t, found, "want %q with %q, got:\n%s", want, test.hint, errOut)
		})
	}
}

func TestConfigCheckListsAllFaults(t *testing.T) {
	text := strings.NewReplacer("max_tokens: 16", "max_tokens: 0", "share: 1", "share: 0", "name: sample", "name: A").Replace(validConfig)
	_, _, errOut := check(t, text)
	for _, field := range []string{":1: name:", ":4: models[0].max_tokens:", ":25: organisations[0].share:"} {
		assert.Assert(t, strings.Contains(errOut, field), errOut)
	}
}

func TestHashDoesNotDependOnOrder(t *testing.T) {
	_, one, _ := check(t, validConfig)
	swapped := strings.NewReplacer("name: m\n    max_tokens: 16\n", "max_tokens: 16\n    name: m\n").Replace(validConfig)
	lines := strings.Split(swapped, "\n")
	lines[18], lines[19] = lines[19], lines[18]
	_, other, _ := check(t, strings.Join(lines, "\n"))
	assert.Assert(t, strings.Join(lines, "\n") != validConfig)
	assert.Equal(t, one, other)
}

func TestExitCodes(t *testing.T) {
	tests := []struct {
		name string
		args []string
		code int
	}{
		{"no command", nil, ExitUsage},
		{"unknown command", []string{"fly"}, ExitUsage},
		{"no file", []string{"config", "check"}, ExitUsage},
		{"missing file", []string{"config", "check", "none.yaml"}, ExitFailure},
		{"help", []string{"--help"}, ExitOK},
		{"version", []string{"version"}, ExitOK},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var out, errOut bytes.Buffer
			assert.Equal(t, Run(test.args, &out, &errOut), test.code)
			assert.Assert(t, out.Len()+errOut.Len() > 0)
		})
	}
}
