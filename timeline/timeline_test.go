package timeline

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const first = `
noise before any line
 0.1 edge-1 {"time":"2026-10-04T15:20:06.500Z","level":"WARN","msg":"store does not answer","node":"edge-1","table":"op"}
{"time":"2026-10-04T15:20:07.000Z","level":"INFO","msg":"attempt failed","node":"edge-1","request":"r1","endpoint":"i-1","attempt":1,"cause":"reset"}
{"time":"2026-10-04T15:20:07.010Z","level":"WARN","msg":"endpoint counts as ill","node":"edge-1","endpoint":"i-1"}
{"time":"2026-10-04T15:20:07.011Z","level":"WARN","msg":"endpoint counts as ill","node":"edge-1","endpoint":"i-9"}
{"time":"2026-10-04T15:20:07.300Z","level":"WARN","msg":"request not served","node":"edge-1","request":"r1","endpoint":"i-2","sends":2,"problem":"outcome-unknown"}
{"time":"2026-10-04T15:20:07.200Z","level":"INFO","msg":"request served","node":"edge-1","request":"r2"}
{"broken
`

// The clock of the second process is an hour behind.
const second = `{"time":"2026-10-04T14:20:09.000Z","level":"INFO","msg":"request served","node":"edge-2","request":"r1","endpoint":"i-3","sends":3}
`

// TestTimeline checks the order of lines despite different clocks, and the choice
// of the context.
func TestTimeline(t *testing.T) {
	timeline, err := Read("r1", strings.NewReader(second), strings.NewReader(first))
	assert.NilError(t, err)
	var own []string
	for _, l := range timeline.Lines {
		own = append(own, l.Message)
	}
	assert.DeepEqual(t, own, []string{"attempt failed", "request not served", "request served"})
	assert.Equal(t, len(timeline.Context), 2, "the store and the request's own endpoint")
	out := &strings.Builder{}
	assert.NilError(t, timeline.Write(out))
	assert.Assert(t, strings.Contains(out.String(), "cause=reset"), out.String())
	assert.Assert(t, !strings.Contains(out.String(), "i-9"))
}

func TestNoLines(t *testing.T) {
	timeline, err := Read("r7", strings.NewReader(first))
	assert.NilError(t, err)
	out := &strings.Builder{}
	assert.NilError(t, timeline.Write(out))
	assert.Equal(t, out.String(), "request r7: no line names it\n")
}
