package tablestandin_test

import (
	"context"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	tablestandin "github.com/cyclamenpoint/cyclamenpoint/standin/table"
	"github.com/cyclamenpoint/cyclamenpoint/table"
)

// startService starts the stand-in and returns it with an HTTP client for it.
func startService(t *testing.T) (*tablestandin.Store, *table.Client) {
	store := tablestandin.New()
	server := httptest.NewServer(store.Handler())
	t.Cleanup(server.Close)
	return store, table.NewClient(table.Settings{URL: server.URL}, nil)
}

func TestConditionalWritesOverHTTP(t *testing.T) {
	_, client := startService(t)
	ctx := context.Background()
	key := "a/b c%/é"
	etags, err := client.Write(ctx, []table.Op{table.Create(key, []byte("1"))})
	assert.NilError(t, err)
	_, err = client.Write(ctx, []table.Op{table.Create(key, []byte("2"))})
	assert.DeepEqual(t, err, table.ConflictError{Keys: []string{key}})
	row, err := client.Get(ctx, key)
	assert.NilError(t, err)
	assert.DeepEqual(t, row, table.Row{Key: key, Value: []byte("1"), ETag: etags[0]})
	_, changed, err := client.GetIfChanged(ctx, key, row.ETag)
	assert.NilError(t, err)
	assert.Assert(t, !changed)
	_, err = client.Write(ctx, []table.Op{table.Replace(key, []byte("3"), row.ETag)})
	assert.NilError(t, err)
	_, err = client.Write(ctx, []table.Op{table.Delete(key, row.ETag)})
	assert.DeepEqual(t, err, table.ConflictError{Keys: []string{key}})
	_, err = client.Write(ctx, []table.Op{{Kind: table.KindDelete, Key: key}})
	assert.NilError(t, err)
	_, err = client.Get(ctx, key)
	assert.DeepEqual(t, err, table.NotFoundError{Key: key})
}

func TestTransactionsAreAtomic(t *testing.T) {
	store, client := startService(t)
	ctx := context.Background()
	etags, err := client.Write(ctx, []table.Op{table.Create("a", nil), table.Create("b", nil)})
	assert.NilError(t, err)
	_, err = client.Write(ctx, []table.Op{
		table.Create("c", nil), table.Create("b", nil), table.Check("a", `"other"`)})
	assert.DeepEqual(t, err, table.ConflictError{Keys: []string{"b", "a"}})
	_, err = client.Get(ctx, "c")
	assert.DeepEqual(t, err, table.NotFoundError{Key: "c"})
	_, err = client.Write(ctx, []table.Op{table.Check("a", etags[0]), table.Create("c", nil)})
	assert.NilError(t, err)
	assert.DeepEqual(t, store.Counts(), tablestandin.Counts{Reads: 1, Writes: 3, Rows: 3})
	absent := table.Op{Kind: table.KindCheck, Key: "d", IfAbsent: true}
	_, err = client.Write(ctx, []table.Op{absent})
	assert.NilError(t, err)
	_, err = client.Write(ctx, []table.Op{table.Check("a", `"other"`)})
	assert.DeepEqual(t, err, table.ConflictError{Keys: []string{"a"}})
}

// TestListPages: a page that repeats or skips a row at its boundary, or that has
// rows of another prefix, would make readers miss or mix up rows.
func TestListPages(t *testing.T) {
	_, client := startService(t)
	ctx := context.Background()
	for _, key := range []string{"p/2", "p/1", "q/1", "p/3", "o"} {
		_, err := client.Write(ctx, []table.Op{table.Create(key, nil)})
		assert.NilError(t, err)
	}
	page, err := client.List(ctx, "p/", "", 2)
	assert.NilError(t, err)
	assert.Equal(t, len(page.Rows), 2)
	assert.Equal(t, page.Rows[0].Key, "p/1")
	assert.Assert(t, page.More)
	page, err = client.List(ctx, "p/", page.Rows[1].Key, 2)
	assert.NilError(t, err)
	assert.Equal(t, len(page.Rows), 1)
	assert.Equal(t, page.Rows[0].Key, "p/3")
	assert.Assert(t, !page.More)
}

func TestFaultsReturnTypedErrors(t *testing.T) {
	store, client := startService(t)
	ctx := context.Background()
	store.DropNextAnswers(1)
	_, err := client.Write(ctx, []table.Op{table.Create("a", []byte("1"))})
	assert.ErrorType(t, err, table.UnknownOutcomeError{})
	_, err = client.Get(ctx, "a")
	assert.NilError(t, err, "the write whose answer was lost took effect")
	store.SetFaults(tablestandin.Faults{Down: true})
	_, err = client.Get(ctx, "a")
	assert.ErrorType(t, err, table.UnavailableError{})
	_, err = client.Write(ctx, []table.Op{table.Create("b", nil)})
	assert.ErrorType(t, err, table.UnknownOutcomeError{}, "a server error leaves the outcome of a write unknown")
	store.SetFaults(tablestandin.Faults{WritesPerSecond: 1})
	_, err = client.Write(ctx, []table.Op{table.Create("c", nil)})
	assert.NilError(t, err)
	_, err = client.Write(ctx, []table.Op{table.Create("d", nil)})
	assert.ErrorType(t, err, table.RateLimitedError{})
	unreachable := table.NewClient(table.Settings{URL: "http://127.0.0.1:1"}, nil)
	_, err = unreachable.Write(ctx, []table.Op{table.Create("e", nil)})
	assert.ErrorType(t, err, table.UnavailableError{}, "the connection was refused")
}
