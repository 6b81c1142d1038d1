// Command capacity measures the costs of the control loops of a node, such as
// processor time, bytes and calls of the table service, at several system
// sizes. It fits a line to each cost and extrapolates it to the size that the
// system is designed for. It prints a Markdown table and draws a plot for each
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
	entryNodes = 350
	// endpoints is the number of endpoints. Each has an agent.
	endpoints     = 600
	processes     = entryNodes + endpoints
	organisations = 380
	// requestRate is the rate of all callers' requests, in requests per second.
	requestRate = 1900.0
	// ranksPerGroup, expertsPerLayer and largestLayers are the ranks, the experts
	// of each layer and the layers of the largest group.
	ranksPerGroup   = 32
	expertsPerLayer = 128
	largestLayers   = 60
	// groups is the number of groups of this size that the endpoints can form.
	groups = endpoints / ranksPerGroup
)

// The limits of the costs of control: processor time, memory and network
// traffic of one node, calls of the table service by the whole system, and the time
// to pick an endpoint.
const (
	limitCorePercent     = 2.0
	limitHeapKB          = 64 * 1024.0
	limitBytesPerSecond  = 21_000.0
	limitReadsPerSecond  = 300.0
	limitWritesPerSecond = 50.0
	limitPickNanoseconds = 5000.0
)

// options are the command line flags.
type options struct {
	Parts []string `long:"part" description:"measure only this part; may be given several times" choice:"membership" choice:"nodes" choice:"announce" choice:"followers" choice:"claims" choice:"demand" choice:"probes" choice:"picks" choice:"admission" choice:"quarantine" choice:"placement" choice:"lease" choice:"connections"`
	Plots string   `long:"plots" default:"docs/capacity" description:"directory for the plots; empty draws none"`
	Procs int      `long:"procs" default:"3" description:"processor cores to use"`
	Large bool     `long:"large" description:"measure nodes and membership at larger sizes, which takes minutes"`
}

// part is a set of related measurements.
type part struct {
	name    string
	measure func(ctx context.Context, o *options) ([]*series, error)
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
	// Package net/http reports failed connections to the standard logger.
	log.SetOutput(io.Discard)
	runtime.GOMAXPROCS(o.Procs)
	if err := measure(&o); err != nil {
		os.Stderr.WriteString("capacity: " + err.Error() + "\n")
		os.Exit(1)
	}
}

// measure runs the parts that the options select, and prints and draws the results.
func measure(o *options) error {
	r := &report{out: os.Stdout, plots: o.Plots}
	for _, p := range parts() {
		if len(o.Parts) > 0 && !slices.Contains(o.Parts, p.name) {
			continue
		}
		all, err := p.measure(context.Background(), o)
		if err != nil {
			return errors.Wrap(err, "measure "+p.name)
		}
		r.add(all...)
	}
	r.printTable()
	if o.Plots == "" {
		return nil
	}
	return r.draw()
}
