package evacuation

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cyclamenpoint/cyclamenpoint/discovery"
)

// TestDifference guards against an evacuation or its end that is missed or applied twice
// when several domains change at once.
func TestDifference(t *testing.T) {
	for _, c := range []struct{ from, to, began, ended []string }{
		{nil, nil, []string{}, []string{}},
		{nil, []string{"b", "a", "a"}, []string{"a", "b"}, []string{}},
		{[]string{"a", "b"}, []string{"c", "b"}, []string{"c"}, []string{"a"}},
		{[]string{"a"}, nil, []string{}, []string{"a"}},
	} {
		d := NewSet(c.from).Difference(NewSet(c.to))
		assert.DeepEqual(t, d, Difference{Began: c.began, Ended: c.ended})
	}
	assert.DeepEqual(t, Set{}.Difference(NewSet([]string{"a"})).Began, []string{"a"})
}

// TestRemaining guards against an endpoint of an evacuated domain that stays available, and
// against a change of the list that all requests share.
func TestRemaining(t *testing.T) {
	all := []discovery.Endpoint{{ID: "1", FailureDomain: "a"}, {ID: "2", FailureDomain: "b"}, {ID: "3", FailureDomain: "a"}, {ID: "4", FailureDomain: "c"}}
	ids := func(list []discovery.Endpoint) string {
		text := ""
		for _, e := range list {
			text += e.ID
		}
		return text
	}
	assert.Equal(t, ids(Set{}.Remaining(all)), "1234")
	assert.Equal(t, ids(NewSet([]string{"a"}).Remaining(all)), "24")
	assert.Equal(t, ids(NewSet([]string{"a", "b", "c", "d"}).Remaining(all)), "")
	assert.Equal(t, ids(NewSet([]string{"A", ""}).Remaining(all)), "1234")
	assert.Equal(t, ids(all), "1234")
}
