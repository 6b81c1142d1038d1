package demo

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"github.com/cyclamenpoint/cyclamenpoint/deployment"
	pb "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
	"github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1/cyclamenpointv1connect"
	"github.com/cyclamenpoint/cyclamenpoint/mapswitch"
	"github.com/cyclamenpoint/cyclamenpoint/peer"
	enginestandin "github.com/cyclamenpoint/cyclamenpoint/standin/engine"
	tablestandin "github.com/cyclamenpoint/cyclamenpoint/standin/table"
)

// switchStepTime is short, so that tests of map switches run many steps.
const switchStepTime = 20 * time.Millisecond

// stepKey identifies a step of the group.
type stepKey struct{ epoch, step uint64 }

// checkSteps returns the violations in the step records of all ranks: steps that
// ranks ran on different maps, or without the experts of their map in memory.
func checkSteps(records []enginestandin.StepRecord) []string {
	var violations []string
	maps := make(map[stepKey]mapswitch.Ref)
	for _, r := range records {
		key := stepKey{r.Epoch, r.Step}
		if other, ok := maps[key]; ok && other != r.Map {
			violations = append(violations, fmt.Sprintf("epoch %d step %d ran on maps %v and %v", r.Epoch, r.Step, other, r.Map))
		}
		maps[key] = r.Map
		if !r.Loaded {
			violations = append(violations, fmt.Sprintf("rank %d ran step %d without its experts", r.Rank, r.Step))
		}
	}
	return violations
}

func stepsOf(d *Demo) []enginestandin.StepRecord {
	var records []enginestandin.StepRecord
	for i := range engineCount {
		records = append(records, d.engines.Rank(i).Steps()...)
	}
	return records
}

// TestCheckStepsFindsInjectedFaults verifies that checkSteps finds each kind of
// violation.
func TestCheckStepsFindsInjectedFaults(t *testing.T) {
	a, b := mapswitch.Ref{Version: 1}, mapswitch.Ref{Version: 2}
	good := []enginestandin.StepRecord{{Rank: 0, Epoch: 1, Step: 3, Map: a, Loaded: true}, {Rank: 1, Epoch: 1, Step: 3, Map: a, Loaded: true}}
	assert.Equal(t, len(checkSteps(good)), 0)
	mixed := slices.Clone(good)
	mixed[1].Map = b
	assert.Equal(t, len(checkSteps(mixed)), 1)
	unloaded := slices.Clone(good)
	unloaded[1].Loaded = false
	assert.Equal(t, len(checkSteps(unloaded)), 1)
}

// await polls until ok returns true.
func await(t testing.TB, ok func() bool) {
	t.Helper()
	for !ok() {
		select {
		case <-t.Context().Done():
			t.Fatal("the test ended")
		case <-time.After(switchStepTime):
		}
	}
}

// lastMapVersion returns the version of the map on which a rank ran its last
// step, or 0 if it has run none.
func lastMapVersion(d *Demo, rank int) uint64 {
	steps := d.engines.Rank(rank).Steps()
	if len(steps) == 0 {
		return 0
	}
	return steps[len(steps)-1].Map.Version
}

// awaitMap waits until all ranks run on a map with a version above the given one.
func awaitMap(t testing.TB, d *Demo, version uint64) {
	t.Helper()
	await(t, func() bool {
		for i := range engineCount {
			if lastMapVersion(d, i) <= version {
				return false
			}
		}
		return true
	})
}

// groupStatus returns the group's status from the agent of a rank.
func groupStatus(t *testing.T, d *Demo, rank int) *pb.GroupStatus {
	t.Helper()
	name := d.config.Ranks(demoGroup)[rank].Name
	i := slices.IndexFunc(d.config.Endpoints, func(e deployment.Endpoint) bool { return e.Name == name })
	client := cyclamenpointv1connect.NewNodeServiceClient(demoClient(t), "http://"+d.operators[i])
	resp, err := client.Status(t.Context(), connect.NewRequest(&pb.StatusRequest{}))
	assert.NilError(t, err)
	assert.Equal(t, len(resp.Msg.Groups), 1)
	return resp.Msg.Groups[0]
}

func TestMapSwitchDuringStream(t *testing.T) {
	const tokens = 400
	d, err := Start(Options{StepTime: switchStepTime})
	assert.NilError(t, err)
	defer func() { assert.NilError(t, d.Stop(context.Background())) }()
	first := lastMapVersion(d, 0)
	resp := openStream(t, d, "long", tokens)
	defer resp.Body.Close()
	awaitMap(t, d, first)
	text, done := readStream(resp.Body)
	assert.Assert(t, done)
	assert.Equal(t, text, answerText("long", tokens))
	assert.DeepEqual(t, checkSteps(stepsOf(d)), []string(nil))
	t.Logf("%d steps held, %d steps completed", d.engines.HeldSteps(), d.engines.Step())
	for _, kind := range []string{"hold", "use"} {
		for i := range engineCount {
			found := slices.ContainsFunc(d.engines.Rank(i).Orders(), func(o enginestandin.OrderRecord) bool { return string(o.Kind) == kind })
			assert.Assert(t, found, "rank %d accepted no order %q", i, kind)
		}
	}
	status := groupStatus(t, d, 3)
	assert.Equal(t, status.Group, demoGroup)
	assert.Assert(t, status.MapVersion > first)
	assert.Assert(t, status.Epoch >= 1)
	assert.Assert(t, status.Skew >= 1)
	assert.Assert(t, status.Coordinator != "")
}

// TestGroupRunsWithoutCoordinatorAndTable kills the coordinator's agent while the
// table is down. The group must continue on its map, and switch maps again when
// the table and the agent are back.
func TestGroupRunsWithoutCoordinatorAndTable(t *testing.T) {
	d, err := Start(Options{StepTime: switchStepTime})
	assert.NilError(t, err)
	defer func() { assert.NilError(t, d.Stop(context.Background())) }()
	awaitMap(t, d, lastMapVersion(d, 0))
	coordinator := groupStatus(t, d, 0).Coordinator
	i := slices.IndexFunc(d.config.Endpoints, func(e deployment.Endpoint) bool { return e.Name == coordinator })
	assert.Assert(t, i >= 0)
	d.table.SetFaults(tablestandin.Faults{Down: true})
	d.agents[i].Abort()
	before := d.engines.Step()
	await(t, func() bool { return d.engines.Step() > before+100 })
	lastVersion := lastMapVersion(d, 0)
	await(t, func() bool { return d.engines.Step() > before+200 })
	assert.Equal(t, lastMapVersion(d, 0), lastVersion, "the map was switched while the table and the coordinator were down")
	d.table.SetFaults(tablestandin.Faults{})
	replaceAgent(t, d, i)
	awaitMap(t, d, lastVersion)
	assert.DeepEqual(t, checkSteps(stepsOf(d)), []string(nil))
}

// demoClient returns an HTTP client that authenticates with the demo's secret.
func demoClient(t *testing.T) *http.Client {
	t.Helper()
	secret := demoSecret(t)
	security, err := peer.NewSecurity(secret, peer.TLSFiles{})
	assert.NilError(t, err)
	return &http.Client{Transport: security.Transport()}
}

// BenchmarkSwitch measures map switches and reports how many due steps were held
// for each switch.
func BenchmarkSwitch(b *testing.B) {
	d, err := Start(Options{StepTime: switchStepTime})
	assert.NilError(b, err)
	defer func() { assert.NilError(b, d.Stop(context.Background())) }()
	for b.Loop() {
		awaitMap(b, d, lastMapVersion(d, 0))
	}
	b.ReportMetric(float64(d.engines.HeldSteps())/float64(b.N), "lost-steps/switch")
}
