package discovery

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestReusedAddress: if another endpoint has started at the same address, the
// remaining entry of the earlier one is ignored.
func TestReusedAddress(t *testing.T) {
	at := time.Unix(1000, 0)
	s := NewSet([]Endpoint{
		{ID: "old", Service: "s", Address: "10.0.0.1:80", Started: at},
		{ID: "new", Service: "other", Address: "10.0.0.1:80", Started: at.Add(time.Second)},
		{ID: "b", Service: "s", Address: "10.0.0.2:80", Started: at},
		{ID: "a", Service: "s", Address: "10.0.0.3:80"},
	})
	_, ok := s.Find("old")
	assert.Assert(t, !ok)
	assert.Equal(t, len(s.Service("other")), 1)
	assert.Equal(t, s.Service("s")[0].ID, "a", "ordered by id")
	assert.Equal(t, len(s.All()), 3)
}
