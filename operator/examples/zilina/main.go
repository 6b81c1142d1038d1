// Command zilina prints the configuration of the mediator register: 16 drafting
// engines in one rank group and 3 register workers over three failure domains.
// It weighs rebalancing cost more than skew because the site runs unattended.
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
	keepSeconds = 30 * 24 * 60 * 60
)

var spread = operator.Spread{
	Region:         "sk-north",
	FailureDomains: []string{"zilina-a", "martin-b", "cadca-c"},
	Network:        "10.10",
}

// organisations lists the organisations of the site; larger ones have larger shares.
// Their keys are examples and must be replaced by real ones.
var organisations = []struct {
	name  string
	share int
}{
	{"district-court", 6}, {"regional-court", 6}, {"register-office", 4}, {"mediator-chamber", 4},
	{"citizens", 2}, {"legal-aid", 2}, {"training-centre", 2}, {"municipality", 2}, {"archive", 1}, {"audit", 1},
}

func main() {
	d := operator.New("zilina")
	drafting := d.Model("drafting", 4096, operator.Always)
	group := d.Group("drafting", drafting,
		operator.Shape{Layers: 60, Experts: 64, Slots: 6, ExpertBytes: 44 << 20},
		operator.Objective{Skew: 1, Move: 2})
	for i := range engines {
		d.Engine(fmt.Sprintf("drafting-%d", i), group, spread.Place("drafting", i, 8000), operator.EngineOptions{
			Rank: i, Concurrency: slots, ChecksFencing: true, Resumes: true,
		})
	}
	register := d.Service("register",
		operator.Route{Method: "GET", Path: "/accreditations", Repeat: operator.Always},
		operator.Route{Method: "POST", Path: "/renewals", Repeat: operator.Never, KeepAnswerSeconds: keepSeconds},
		operator.Route{Method: "POST", Path: "/sanctions", Repeat: operator.Never, KeepAnswerSeconds: keepSeconds})
	for i := range workers {
		d.Worker(fmt.Sprintf("register-%d", i), register, spread.Place("register", i, 8100), workerSlots)
	}
	for _, o := range organisations {
		d.Organisation(o.name, o.share, operator.Limits{RequestsPerSecond: 40}, operator.HashKey("replace-"+o.name))
	}
	if err := d.Print(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
