package gateway

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestAnswerTokens checks that the caller's estimate of the answer's size is capped by the
// limit for the answer.
func TestAnswerTokens(t *testing.T) {
	for _, c := range []struct{ limit, likely, want int }{{0, 0, 0}, {0, 50, 50}, {80, 50, 50}, {80, 500, 80}, {80, 0, 0}} {
		got := Caller{MaxAnswerTokens: c.limit, LikelyAnswerTokens: c.likely}.answerTokens()
		assert.Equal(t, got, c.want, "%+v", c)
	}
}
