package quarantine

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestUnclearedReports guards against rows in the store that grow without bound, hold cleared
// requests or lose the latest crash.
func TestUnclearedReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newPartList(t)
		var cleared Fingerprint
		for i := range uint32(4) {
			bad, sound := newPartRequest("x", "bad"), newPartRequest("y", "sound")
			c := crashOf(i, "", bad, sound).Crashes[0]
			c.Young = []Fingerprint{sound.content(), bad.content()}
			l.Merge(Facts{Crashes: []Crash{c}})
			cleared = sound.parts[0]
			l.RecordAnswer(cleared)
			l.RecordAnswer(sound.content())
			time.Sleep(time.Second)
		}
		assert.Equal(t, len(l.UnclearedReports("another", 100)), 0)
		reports := l.UnclearedReports("other", 5)
		assert.Equal(t, len(reports), 3)
		assert.Equal(t, reports[0].ID.Number, uint32(3))
		for i, c := range reports {
			assert.Equal(t, c.size(), []int{2, 2, 1}[i])
			assert.Assert(t, c.Parts[0].Fingerprint != cleared)
		}
	})
}
