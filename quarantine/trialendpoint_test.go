package quarantine

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestTrialEndpointAvoidsCrashedEndpoints checks that the trial endpoint of a
// suspect is not the endpoint that has just crashed, unless there is no other.
func TestTrialEndpointAvoidsCrashedEndpoints(t *testing.T) {
	endpoints := []string{"e0", "e1", "e2", "e3"}
	for _, body := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		list, err := NewList(Config{Keep: DefaultKeep, MaxCrashes: DefaultMaxCrashes, MaxClears: DefaultMaxClears})
		assert.NilError(t, err)
		fp := FingerprintOf(Content{Organisation: "o", Model: "m", Body: []byte(body)})
		crashed := SelectTrialEndpoint(fp, endpoints)
		list.RecordCrash(CrashID{Endpoint: crashed, Incarnation: 1, Number: 1}, []Fingerprint{fp})
		assert.Assert(t, list.TrialEndpoint(fp, endpoints) != crashed)
		assert.Equal(t, list.TrialEndpoint(fp, []string{crashed}), crashed)
	}
}
