// Command capacity measures what the control loops of a node cost at several
// sizes, fits a line to each cost and extrapolates it to the size that the
// system is designed for. It prints Markdown tables and draws a plot for each
// cost.
package main

import (
	"context"
	"io"
	"log"
	"os"
	"runtime"
	"slices"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"
)

// The size that the system is designed for.
const (
	entries       = 350
	workers       = 600
	processes     = entries + workers
	organisations = 380
	requestRate   = 1900.0
	groupRanks    = 32
	layerExperts  = 128
	largestLayers = 60
	// groups is how many groups of groupRanks the workers make.
	groups = workers / groupRanks
)

// The limits of control for one node and for the table service.
const (
	limitCorePercent = 2.0
	limitHeapKB      = 64 * 1024.0
	limitBytes       = 21_000.0
	limitReads       = 300.0
	limitWrites      = 50.0
)

// options are the command line.
type options struct {
	Parts []string `long:"part" description:"measure only this part; may be given several times" choice:"membership" choice:"nodes" choice:"announce" choice:"followers" choice:"claims" choice:"demand" choice:"probes" choice:"picks" choice:"admission" choice:"quarantine" choice:"placement" choice:"lease" choice:"connections"`
	Plots string   `long:"plots" default:"docs/capacity" description:"directory for the plots; empty draws none"`
	Procs int      `long:"procs" default:"3" description:"processor cores to use"`
	Large bool     `long:"large" description:"measure nodes and membership at larger sizes, which takes minutes"`
}

// part is one thing to measure.
type part struct {
	name string
	run  func(ctx context.Context, o *options) ([]*series, error)
}

func parts() []part {
	return []part{
		{"membership", measureMembership},
		{"nodes", measureNodes},
		{"announce", measureAnnounce},
		{"followers", measureFollowers},
		{"claims", measureClaims},
		{"demand", measureDemand},
		{"probes", measureProbes},
		{"picks", measurePicks},
		{"admission", measureAdmission},
		{"quarantine", measureQuarantine},
		{"placement", measurePlacement},
		{"lease", measureLease},
		{"connections", measureConnections},
	}
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	// The library of HTTP reports broken connections there.
	log.SetOutput(io.Discard)
	runtime.GOMAXPROCS(o.Procs)
	if err := measure(&o); err != nil {
		os.Stderr.WriteString("capacity: " + err.Error() + "\n")
		os.Exit(1)
	}
}

// measure runs the parts that the options ask for.
func measure(o *options) error {
	r := &report{out: os.Stdout, plots: o.Plots}
	for _, p := range parts() {
		if len(o.Parts) > 0 && !slices.Contains(o.Parts, p.name) {
			continue
		}
		all, err := p.run(context.Background(), o)
		if err != nil {
			return errors.Wrap(err, "measure "+p.name)
		}
		r.take(all...)
	}
	r.table()
	if o.Plots == "" {
		return nil
	}
	return r.draw()
}
