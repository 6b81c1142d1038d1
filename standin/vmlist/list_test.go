package vmliststandin_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	_ "github.com/cyclamenpoint/cyclamenpoint/internal/bubble"
	vmliststandin "github.com/cyclamenpoint/cyclamenpoint/standin/vmlist"
	"github.com/cyclamenpoint/cyclamenpoint/vmlist"
)

func TestChangesBecomeVisibleAfterTheLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := vmliststandin.New(2 * time.Second)
		list.Set(vmlist.VM{Name: "a", State: vmlist.StateLive})
		time.Sleep(time.Second)
		list.Set(vmlist.VM{Name: "a", State: vmlist.StateLeaving})
		vms, err := list.VMs(context.Background())
		assert.NilError(t, err)
		assert.Equal(t, len(vms), 0)
		time.Sleep(time.Second)
		vms, _ = list.VMs(context.Background())
		assert.DeepEqual(t, vms, []vmlist.VM{{Name: "a", State: vmlist.StateLive}})
		time.Sleep(time.Second)
		vms, _ = list.VMs(context.Background())
		assert.DeepEqual(t, vms, []vmlist.VM{{Name: "a", State: vmlist.StateLeaving}})
	})
}

// TestListOverHTTP: the client must decode all fields of a VM, and must not take
// an outage for an empty list.
func TestListOverHTTP(t *testing.T) {
	list := vmliststandin.New(0)
	server := httptest.NewServer(list.Handler())
	t.Cleanup(server.Close)
	client := vmlist.NewClient(vmlist.Settings{URL: server.URL}, nil)
	vm := vmlist.VM{Name: "a", FailureDomain: "d", Region: "r", Address: "10.0.0.1", State: vmlist.StateLive}
	list.Set(vm)
	vms, err := client.VMs(context.Background())
	assert.NilError(t, err)
	assert.DeepEqual(t, vms, []vmlist.VM{vm})
	list.SetDown(true)
	_, err = client.VMs(context.Background())
	assert.ErrorType(t, err, vmlist.UnavailableError{})
}
