package quarantine

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

// crashAfterFirstEvent begins an answer to a request at an endpoint, which crashes a time
// after the first event.
func crashAfterFirstEvent(a *Attempts, endpoint string, r *Request, after time.Duration) {
	site := Site{Endpoint: endpoint}
	t := a.Begin(site, r, func() {})
	t.Answered(true)
	time.Sleep(after)
	a.RecordCrash(site)
	t.End()
}

// TestCrashAfterFirstEvent guards against a request that crashes each endpoint after its
// first event and is cleared by that event, also if its callers use several nodes.
func TestCrashAfterFirstEvent(t *testing.T) {
	for _, parts := range [][]string{nil, {"a"}, {"a", "b", "c"}} {
		synctest.Test(t, func(t *testing.T) {
			var nodes []*Attempts
			for i := range 2 {
				nodes = append(nodes, NewAttempts(newPartList(t), fmt.Sprint("n", i), func() {}))
			}
			want := []State{Clean, Suspect, Quarantined}
			for i, state := range want {
				crashAfterFirstEvent(nodes[i%2], fmt.Sprint("e", i), newPartRequest("bad", parts...), 20*time.Millisecond)
				nodes[(i+1)%2].Merge(nodes[i%2].list.Facts())
				for _, n := range nodes {
					assert.Equal(t, n.list.Judge(newPartRequest("bad", parts...)).State, state, "%d parts, %d crashes", len(parts), i+1)
				}
				time.Sleep(time.Second)
			}
		})
	}
}

// TestLongStreamIsNoSuspect guards against long streams that are held because their endpoints
// failed for another reason.
func TestLongStreamIsNoSuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := NewAttempts(newPartList(t), "n", func() {})
		for i := range 4 {
			crashAfterFirstEvent(a, fmt.Sprint("e", i), newPartRequest("long", "own"), beginningPeriod)
		}
		assert.Assert(t, a.list.Empty())
	})
}

// TestYoungStreamIsCleared guards against healthy streams that are held for good because
// they were young at two unrelated crashes, and against clearing by the first event.
func TestYoungStreamIsCleared(t *testing.T) {
	clears := map[string]func(*Attempt){
		"complete answer": func(at *Attempt) { at.Completed() },
		"late event": func(at *Attempt) {
			time.Sleep(beginningPeriod)
			at.Answered(true)
		},
	}
	for name, clear := range clears {
		synctest.Test(t, func(t *testing.T) {
			a := NewAttempts(newPartList(t), "n", func() {})
			sound := newPartRequest("sound", "own")
			for i := range 2 {
				crashAfterFirstEvent(a, fmt.Sprint("e", i), sound, time.Millisecond)
			}
			assert.Equal(t, a.list.Judge(sound).State, Suspect)
			later := a.Begin(Site{Endpoint: "trial"}, sound, func() {})
			later.Answered(true)
			assert.Equal(t, a.list.Judge(sound).State, Suspect, "cleared by the first event")
			clear(later)
			assert.Equal(t, a.list.Judge(sound).State, Clean, name)
		})
	}
}

// TestWaitingBeforeYoung guards against a cause that is not found because a stream that had
// begun was at the same crashes.
func TestWaitingBeforeYoung(t *testing.T) {
	l := newPartList(t)
	for i := range uint32(2) {
		facts := crashOf(i, "g0", newPartRequest("x", "bad"))
		facts.Crashes[0].YoungParts = []Fingerprint{newPartRequest("y", "young").parts[0]}
		l.Merge(facts)
	}
	assert.Equal(t, l.Judge(newPartRequest("later", "bad")).State, Quarantined)
	assert.Equal(t, l.Judge(newPartRequest("later", "young")).State, Clean)
}

// earlierCrash is a Crash of versions without young requests.
type earlierCrash struct {
	ID           CrashID       `json:"id"`
	Reporter     string        `json:"reporter,omitempty"`
	Group        string        `json:"group,omitempty"`
	Fingerprints []Fingerprint `json:"fingerprints"`
	Parts        []WaitingPart `json:"parts,omitempty"`
	Established  bool          `json:"established,omitempty"`
	Remaining    time.Duration `json:"remaining"`
}

// TestEarlierVersionIgnoresYoung guards against a node of an earlier version that takes young
// requests for those that waited, and against losing them if such a node passes a
// report on first.
func TestEarlierVersionIgnoresYoung(t *testing.T) {
	sent := crashOf(1, "g0", newPartRequest("x", "waiting")).Crashes[0]
	sent.Young = []Fingerprint{newPartRequest("y").content()}
	sent.YoungParts = newPartRequest("y", "young").parts
	data, err := cbor.Marshal(sent)
	assert.NilError(t, err)
	var seen earlierCrash
	assert.NilError(t, cbor.Unmarshal(data, &seen))
	assert.DeepEqual(t, seen.Parts, sent.Parts)
	assert.Equal(t, len(seen.Fingerprints), len(sent.Fingerprints))

	data, err = cbor.Marshal(seen)
	assert.NilError(t, err)
	var passedOn Crash
	assert.NilError(t, cbor.Unmarshal(data, &passedOn))
	l := newPartList(t)
	assert.Assert(t, l.Merge(Facts{Crashes: []Crash{passedOn}}))
	assert.Assert(t, l.Merge(Facts{Crashes: []Crash{sent}}))
	assert.Assert(t, !l.Merge(Facts{Crashes: []Crash{sent}}))
	assert.DeepEqual(t, l.Facts().Crashes[0].YoungParts, sent.YoungParts)
}
