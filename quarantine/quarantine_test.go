package quarantine

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func newList(t *testing.T, crashes int) *List {
	t.Helper()
	l, err := NewList(Config{Keep: time.Hour, MaxCrashes: crashes, MaxClears: 100})
	assert.NilError(t, err)
	return l
}

var contents = rapid.SampledFrom([]Fingerprint{"a", "b", "c", "d"})

// TestMergeOrder checks that the same facts give the same entries whatever the
// order and number of merges.
func TestMergeOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var parts []Facts
		for i := range rapid.IntRange(1, 6).Draw(rt, "crashes") {
			id := CrashID{Endpoint: "e", Number: uint32(i)}
			fps := rapid.SliceOfN(contents, 1, 3).Draw(rt, "fps")
			parts = append(parts, Facts{Crashes: []Crash{{ID: id, Fingerprints: fps, Remaining: time.Hour}}})
			if rapid.Bool().Draw(rt, "clear") {
				by := rapid.SampledFrom([]string{"", "x"}).Draw(rt, "by")
				parts = append(parts, Facts{Clears: []Clear{{Fingerprint: fps[0], Crash: id, By: by, Remaining: time.Hour}}})
			}
		}
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "order"), 0))
		var want, got []Entry
		synctest.Test(t, func(t *testing.T) {
			one, two := newList(t, 100), newList(t, 100)
			for _, p := range parts {
				one.Merge(p)
			}
			for range 2 {
				rng.Shuffle(len(parts), func(i, j int) { parts[i], parts[j] = parts[j], parts[i] })
				for _, p := range parts {
					two.Merge(p)
				}
			}
			assert.Assert(t, !two.Merge(one.Facts()))
			want, got = one.Entries(), two.Entries()
		})
		assert.DeepEqual(rt, got, want)
	})
}

// TestOperatorClears checks that an operator's clearance reaches all nodes, and
// that a later crash makes the content a suspect again.
func TestOperatorClears(t *testing.T) {
	l, other := newList(t, 10), newList(t, 10)
	l.RecordCrash(CrashID{"e", 1, 1}, []Fingerprint{"p", "a"})
	l.RecordCrash(CrashID{"e", 1, 2}, []Fingerprint{"p"})
	assert.Equal(t, l.State("p"), Quarantined)
	assert.Equal(t, l.State("a"), Clean)
	other.Merge(l.Facts())
	assert.NilError(t, other.Clear("p", "eva"))
	assert.ErrorType(t, other.Clear("p", "eva"), &NotFoundError{})
	l.Merge(other.Facts())
	assert.Equal(t, l.State("p"), Clean)
	l.RecordCrash(CrashID{"e", 1, 3}, []Fingerprint{"p"})
	assert.Equal(t, l.State("p"), Suspect)
}

// TestExpiry checks that facts expire although nodes keep exchanging them, and
// that the number of facts stays within the limit.
func TestExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := newList(t, 10), newList(t, 10)
		for i := range uint32(50) {
			a.RecordCrash(CrashID{"e", 1, i}, []Fingerprint{"p"})
		}
		assert.Equal(t, len(a.Facts().Crashes), 10)
		for range 3700 {
			factsA, factsB := a.Facts(), b.Facts()
			time.Sleep(time.Second)
			a.Merge(factsB)
			b.Merge(factsA)
		}
		assert.Equal(t, a.State("p"), Clean)
		assert.Equal(t, len(a.Facts().Crashes)+len(b.Facts().Crashes), 0)
	})
}

// FuzzNormalise checks that normalising is idempotent and that neither
// normalising nor indenting a body changes its fingerprint.
func FuzzNormalise(f *testing.F) {
	for _, s := range []string{`{"b":1, "a":[1e400,"x"],"stream":true}`, `{}`, `{"a":1}{`, `null`, "", "\xff", `{"a":{"a":"\ud800"}}`} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		once := normalise(body)
		assert.DeepEqual(t, normalise(once), once)
		a, b := FingerprintOf(Content{Organisation: "o", Body: body}), FingerprintOf(Content{Organisation: "o", Body: once})
		assert.Equal(t, a, b)
		var indented bytes.Buffer
		if json.Indent(&indented, body, " ", "\t") == nil && bytes.HasPrefix(bytes.TrimSpace(body), []byte("{")) {
			assert.Equal(t, FingerprintOf(Content{Organisation: "o", Body: indented.Bytes()}), a)
		}
	})
}

// TestFingerprint checks that volatile fields, white space and the order of keys
// do not affect the fingerprint, and that everything else does.
func TestFingerprint(t *testing.T) {
	base := Content{Organisation: "o", Model: "m", Body: []byte(`{"prompt":"x","n":1}`)}
	same := base
	same.Body = []byte("{ \"n\": 1, \"stream\": true,\n\"prompt\":\"x\", \"user\":\"u2\"}")
	assert.Equal(t, FingerprintOf(base), FingerprintOf(same))
	for _, change := range []func(*Content){
		func(c *Content) { c.Organisation = "p" },
		func(c *Content) { c.Organisation, c.Model = "om", "" },
		func(c *Content) { c.Body = []byte(`{"prompt":"y","n":1}`) },
		func(c *Content) { c.Body = []byte(`{"prompt":"x","n":12345678901234567890}`) },
	} {
		c := base
		change(&c)
		assert.Assert(t, FingerprintOf(base) != FingerprintOf(c))
	}
}

// TestFingerprintOfPieces guards against a body whose fingerprint depends on the pieces in
// which it arrived.
func TestFingerprintOfPieces(t *testing.T) {
	for _, size := range []int{100, maxNormalisedBytes - 20, maxNormalisedBytes + 1} {
		body := []byte(`{"user":"u","prompt":"` + strings.Repeat("x", size) + `"}`)
		whole := FingerprintOf(Content{Body: body})
		for _, cut := range []int{1, 50, len(body) - 1} {
			assert.Equal(t, FingerprintOf(Content{Body: body[:cut], Rest: [][]byte{body[cut : cut+1], body[cut+1:]}}), whole)
		}
	}
}

func BenchmarkFingerprintOf(b *testing.B) {
	body := []byte(`{"model":"m","messages":[{"role":"user","content":"` + string(bytes.Repeat([]byte("word "), 2000)) + `"}]}`)
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		FingerprintOf(Content{Organisation: "o", Model: "m", Body: body})
	}
}
