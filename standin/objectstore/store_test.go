package objectstorestandin_test

import (
	"context"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cyclamenpoint/cyclamenpoint/objectstore"
	objectstorestandin "github.com/cyclamenpoint/cyclamenpoint/standin/objectstore"
)

// TestObjectsOverHTTP: the client must be able to tell the store's failures apart
// over HTTP, and an object must exist after its creation although the answer was
// lost.
func TestObjectsOverHTTP(t *testing.T) {
	store := objectstorestandin.New()
	server := httptest.NewServer(store.Handler())
	t.Cleanup(server.Close)
	client := objectstore.NewClient(objectstore.Settings{URL: server.URL, MaxBytes: 4}, nil)
	ctx := context.Background()
	store.DropNextAnswers(1)
	assert.ErrorType(t, client.PutIfAbsent(ctx, "a/b", []byte("1")), objectstore.UnavailableError{})
	assert.DeepEqual(t, client.PutIfAbsent(ctx, "a/b", []byte("2")), objectstore.ExistsError{Name: "a/b"})
	data, err := client.Get(ctx, "a/b")
	assert.NilError(t, err)
	assert.Equal(t, string(data), "1")
	assert.NilError(t, client.PutIfAbsent(ctx, "big", []byte("12345")))
	_, err = client.Get(ctx, "big")
	assert.ErrorType(t, err, objectstore.TooLargeError{})
	assert.NilError(t, client.Delete(ctx, "a/b"))
	_, err = client.Get(ctx, "a/b")
	assert.DeepEqual(t, err, objectstore.NotFoundError{Name: "a/b"})
	store.SetFaults(objectstorestandin.Faults{Down: true})
	_, err = client.Get(ctx, "big")
	assert.ErrorType(t, err, objectstore.UnavailableError{})
}
