package quarantine

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestTrialAvoidsTheCrashedEndpoint shows that a suspect does not wait for the
// endpoint that has just gone down with it.
func TestTrialAvoidsTheCrashedEndpoint(t *testing.T) {
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
