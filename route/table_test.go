package route

import (
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

func testTable() *Table {
	return NewTable(Config{
		Version: 7,
		Routes: []Route{
			{Name: "wide", Host: "a.example", Prefix: "/x/", Priority: 3, Split: []Share{{Service: "one", Weight: 1}}},
			{Name: "deep", Host: "a.example", Prefix: "/x/y/", Split: []Share{{Service: "one", Weight: 90}, {Service: "two", Weight: 10}}},
			{Name: "open", Host: "b.example", Prefix: "/", Anonymous: true, Split: []Share{{Service: "two", Weight: 1}}},
			{Name: "lost", Host: "c.example", Prefix: "/", Anonymous: true, Split: []Share{{Service: "three", Weight: 1}}},
		},
		Services:      []Service{{Name: "one"}, {Name: "two"}},
		Organisations: []Organisation{{Name: "org", Keys: []string{"k1", "k2"}}, {Name: "first", Keys: []string{"k3"}, HasPriority: true}},
	})
}

func TestLookup(t *testing.T) {
	table := testTable()
	for _, c := range []struct {
		name, host, path, key string
		route, org            string
		priority              int
		cause                 Cause
	}{
		{name: "longest prefix", host: "a.example", path: "/x/y/z", key: "k1", route: "deep", org: "org"},
		{name: "prefix itself", host: "a.example", path: "/x/y/", key: "k1", route: "deep", org: "org"},
		{name: "shorter prefix", host: "a.example", path: "/x/yy", key: "k2", route: "wide", org: "org", priority: 3},
		{name: "host with a port and capitals", host: "A.example:80", path: "/x/1", key: "k2", route: "wide", org: "org", priority: 3},
		{name: "priority of the organisation", host: "a.example", path: "/x/1", key: "k3", route: "wide", org: "first"},
		{name: "no key needed", host: "b.example", path: "/any", route: "open"},
		{name: "key on an open route", host: "b.example", path: "/any", key: "k1", route: "open", org: "org"},
		{name: "unknown key", host: "a.example", path: "/x/1", key: "k9", cause: CauseNoKey},
		{name: "no key", host: "a.example", path: "/x/1", cause: CauseNoKey},
		{name: "unknown host", host: "z.example", path: "/x/1", key: "k1", cause: CauseNoRoute},
		{name: "prefix without its slash", host: "a.example", path: "/x", key: "k1", cause: CauseNoRoute},
		{name: "service that is missing", host: "c.example", path: "/1", cause: CauseNoRoute},
	} {
		t.Run(c.name, func(t *testing.T) {
			m, err := table.Lookup(c.host, c.path, c.key, "id")
			if c.route == "" {
				var denied *DeniedError
				assert.Assert(t, errors.As(err, &denied))
				assert.Equal(t, denied.Cause, c.cause)
				assert.Equal(t, denied.Version, uint64(7))
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, m.Route.Name, c.route)
			assert.Equal(t, m.Priority, c.priority)
			org := ""
			if m.Organisation != nil {
				org = m.Organisation.Name
			}
			assert.Equal(t, org, c.org)
		})
	}
}

// TestSplit checks that requests are distributed by weight and that a request always
// goes to the same service.
func TestSplit(t *testing.T) {
	table := testTable()
	count := map[string]int{}
	for i := range 10000 {
		id := string(rune('a'+i%26)) + string(rune('a'+i/26%26)) + string(rune('a'+i/676))
		m, err := table.Lookup("a.example", "/x/y/1", "k1", id)
		assert.NilError(t, err)
		again, err := table.Lookup("a.example", "/x/y/2", "k1", id)
		assert.NilError(t, err)
		assert.Equal(t, m.Service.Name, again.Service.Name)
		count[m.Service.Name]++
	}
	assert.Assert(t, count["two"] > 700 && count["two"] < 1300, "two got %d of 10000 at a weight of 10 in 100", count["two"])
}
