// Command ashanti prints the configuration of the belt wholesaler: 16 assistant
// engines in one rank group and 3 order desk workers over three failure domains.
// It weighs skew more than rebalancing cost because latency affects sales.
package main

import (
	"fmt"
	"os"

	"github.com/cyclamenpoint/cyclamenpoint/operator"
)

const (
	engines     = 16
	workers     = 3
	slots       = 128
	workerSlots = 32
	keepSeconds = 7 * 24 * 60 * 60
)

var spread = operator.Spread{
	Region:         "gh-south",
	FailureDomains: []string{"gh-south-a", "gh-south-b", "gh-south-c"},
	Network:        "10.20",
}

// organisations lists the organisations of the site; larger ones have larger shares.
// Their keys are examples and must be replaced by real ones.
var organisations = []struct {
	name  string
	share int
}{
	{"leather-goods", 8}, {"harness-makers", 4}, {"shoe-works", 4}, {"saddlery", 2}, {"tannery-north", 2},
	{"tannery-south", 2}, {"sandal-cooperative", 1}, {"bag-studio", 1}, {"repair-shops", 1}, {"export-desk", 1},
}

func main() {
	d := operator.New("ashanti")
	assistant := d.Model("assistant", 2048, operator.Always)
	group := d.Group("assistant", assistant,
		operator.Shape{Layers: 60, Experts: 64, Slots: 6, ExpertBytes: 44 << 20},
		operator.Objective{Skew: 1, Move: 0.05})
	for i := range engines {
		d.Engine(fmt.Sprintf("assistant-%d", i), group, spread.Place("assistant", i, 8000), operator.EngineOptions{
			Rank: i, Concurrency: slots, Resumes: true,
		})
	}
	desk := d.Service("desk",
		operator.Route{Method: "GET", Path: "/stock", Repeat: operator.Always},
		operator.Route{Method: "POST", Path: "/reservations", Repeat: operator.Never, KeepAnswerSeconds: keepSeconds},
		operator.Route{Method: "POST", Path: "/invoices", Repeat: operator.Never, KeepAnswerSeconds: keepSeconds})
	for i := range workers {
		d.Worker(fmt.Sprintf("desk-%d", i), desk, spread.Place("desk", i, 8100), workerSlots)
	}
	for _, o := range organisations {
		d.Organisation(o.name, o.share, operator.Limits{RequestsPerSecond: 40}, operator.HashKey("replace-"+o.name))
	}
	if err := d.Print(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
