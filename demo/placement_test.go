package demo

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestMapsComeIntoForce(t *testing.T) {
	d, err := Start(Options{Step: 20 * time.Millisecond})
	assert.NilError(t, err)
	defer func() { assert.NilError(t, d.Stop(context.Background())) }()
	for range 30 {
		time.Sleep(time.Second)
		s := d.engines.Rank(0).Steps()
		if len(s) > 0 {
			t.Log(len(s), s[len(s)-1])
		}
	}
}
