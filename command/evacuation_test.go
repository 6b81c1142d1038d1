package command

import (
	"bytes"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	pb "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
)

// TestEvacuation guards against requests to an evacuated failure domain, against weights that
// an evacuation or its end changes, and against a command that claims an effect it did not
// have.
func TestEvacuation(t *testing.T) {
	s := startDeployment(t)
	s.mustRun(t, "drain", "failure_domain", "demo-b", "--weight", "50")
	s.waitForOutput(t, "# version 2", "config", "show")
	out := s.mustRun(t, "evacuation", "request", "demo-a", "--operator", "anna")
	assert.Assert(t, strings.HasPrefix(out, "accepted as version 3"), out)
	s.waitForOutput(t, "evacuated in version 3: demo-a", "evacuation", "show")
	for strings.Contains(s.mustRun(t, "evacuation", "show"), "no, has version") {
		continue
	}
	for range 30 {
		endpoint := s.endpointOf(t, s.generate(t))
		assert.Assert(t, endpoint != "engine-0" && endpoint != "engine-3" && endpoint != "engine-6", endpoint)
	}
	out = s.mustRun(t, "evacuation", "request", "demo-a")
	assert.Assert(t, strings.HasPrefix(out, "accepted as version"), out)
	s.mustRun(t, "evacuation", "request", "demo-b")
	s.mustRun(t, "evacuation", "request", "demo-c")
	s.waitForOutput(t, ": demo-a, demo-b, demo-c\n", "evacuation", "show")
	for {
		status, retryAfter := s.generateStatus(t)
		if status == http.StatusServiceUnavailable {
			assert.Equal(t, retryAfter, "1")
			break
		}
	}
	for _, domain := range []string{"demo-a", "demo-b", "demo-c"} {
		s.mustRun(t, "evacuation", "withdraw", domain)
	}
	s.waitForOutput(t, ": none\n", "evacuation", "show")
	show := s.mustRun(t, "config", "show")
	for strings.Contains(show, "evacuated") {
		show = s.mustRun(t, "config", "show")
	}
	assert.Assert(t, strings.Contains(show, "percent: 50"), show)
	for status := 0; status != http.StatusOK; {
		status, _ = s.generateStatus(t)
	}
	code, _, errOut := s.run("evacuation", "request", "demo-z")
	assert.Equal(t, code, ExitFailure)
	assert.Assert(t, strings.Contains(errOut, "no failure_domain called demo-z"), errOut)
}

// generateStatus makes one request and returns the status and the Retry-After of its answer.
func (s *testDeployment) generateStatus(t *testing.T) (status int, retryAfter string) {
	t.Helper()
	resp := s.send(t)
	defer resp.Body.Close()
	return resp.StatusCode, resp.Header.Get("Retry-After")
}

// TestPrintEvacuations guards against a node that is shown to have applied an evacuation that
// it does not know yet.
func TestPrintEvacuations(t *testing.T) {
	var out bytes.Buffer
	assert.NilError(t, printEvacuations(&out, []string{"a", "b"}, 7, []*pb.StatusResponse{
		{Node: "n1", Role: "entry", ConfigVersion: 7, Nodes: []*pb.NodeStatus{
			{Name: "n2", Role: "entry", State: "alive", ConfigVersion: 6}, {Name: "n3", Role: "entry", State: "dead"}, {Name: "a1", Role: "agent", ConfigVersion: 7},
		}},
		{Node: "a2", Role: "agent", ConfigVersion: 7, Nodes: []*pb.NodeStatus{
			{Name: "n1", Role: "entry", State: "alive", ConfigVersion: 5}, {Name: "n2", Role: "entry", State: "alive", ConfigVersion: 5},
		}},
	}))
	assert.Equal(t, out.String(), `evacuated in version 7: a, b
ENTRY NODE  STATE    APPLIED
n1          answers  yes
n2          alive    no, has version 6
n3          dead     no, has version 0
`)
}
