package gateway

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestAnswerTokens: a guess beyond what the caller lets the engine write counts as
// the most that it can write.
func TestAnswerTokens(t *testing.T) {
	for _, c := range []struct{ most, likely, want int }{{0, 0, 0}, {0, 50, 50}, {80, 50, 50}, {80, 500, 80}, {80, 0, 0}} {
		got := Caller{MaxAnswerTokens: c.most, LikelyAnswerTokens: c.likely}.answerTokens()
		assert.Equal(t, got, c.want, "%+v", c)
	}
}
