// Command latency measures the latency that an entry node and an agent add to
// the tokens of a streamed answer. It runs a trivial engine, a real agent and a
// real entry node in one process over loopback TCP, and calls the engine
// directly and through the entry node and the agent.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime"
	"runtime/pprof"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/cyclamenpoint/cyclamenpoint/internal/measure/latency/loadgen"
	"github.com/cyclamenpoint/cyclamenpoint/internal/measure/latency/testbed"
)

// options are the command line flags.
type options struct {
	Streams []int         `long:"streams" default:"1" default:"16" default:"256" description:"streams at once; may be given several times"`
	Tokens  int           `long:"tokens" default:"10" description:"tokens of a stream"`
	Step    time.Duration `long:"step" default:"20ms" description:"the engine's time for a token"`
	For     time.Duration `long:"for" default:"7s" description:"time for each number of streams and each way"`
	Base    int           `long:"base" default:"19400" description:"first of 400 free ports"`
	Procs   int           `long:"procs" default:"3" description:"processor cores to use"`
	Profile string        `long:"profile" description:"write a processor profile of the calls through both into this file"`
}

// slots is the number of streams that the engine runs at once.
const slots = 512

// The paths of the calls, as in the printed tables.
const (
	// pathDirect goes to the engine.
	pathDirect = "direct"
	// pathThrough goes to the engine through the entry node and the agent.
	pathThrough = "through"
)

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	runtime.GOMAXPROCS(o.Procs)
	if err := measure(context.Background(), &o); err != nil {
		os.Stderr.WriteString("latency: " + err.Error() + "\n")
		os.Exit(1)
	}
}

// measure starts the testbed and prints a table of the results for each number of
// streams.
func measure(ctx context.Context, o *options) error {
	layout := testbed.Layout{BasePort: o.Base, Engines: 1, Slots: slots}
	bed := testbed.New(layout)
	defer bed.Close()
	if err := bed.StartEngines(o.Step); err != nil {
		return err
	}
	if err := bed.StartAgents(ctx); err != nil {
		return err
	}
	if err := bed.StartEntry(ctx); err != nil {
		return err
	}
	fmt.Println("| Streams | Way | Whole | Failed | Core µs a token | First p50 | First p99 | Gap p50 | Gap p99 | Delay p50 | Delay p99 |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|")
	for _, streams := range o.Streams {
		if err := compare(ctx, o, layout, streams); err != nil {
			return err
		}
	}
	return nil
}

// compare measures both paths with a number of streams and prints the results and
// their difference.
func compare(ctx context.Context, o *options, layout testbed.Layout, streams int) error {
	var results []loadgen.Result
	// The first streams start over the duration of one stream, so that the tokens
	// of different streams do not coincide.
	streamTime := o.Step * time.Duration(o.Tokens)
	for _, path := range []struct{ name, url string }{{pathDirect, layout.EngineURL(0)}, {pathThrough, layout.CallerURL()}} {
		g := loadgen.New(loadgen.Options{URL: path.url, Streams: streams, Tokens: o.Tokens, StartFor: o.For + streamTime, Ramp: streamTime, Skip: streamTime})
		usedBefore := processorTime()
		r, err := runStreams(ctx, o, path.name, g)
		if err != nil {
			return err
		}
		if r.Completed == 0 {
			return errors.Wrapf(r.FirstError, "no stream completed on path %s at %d concurrent streams", path.name, streams)
		}
		micros := (processorTime() - usedBefore).Microseconds() / int64(r.Completed*o.Tokens)
		fmt.Printf("| %d | %s | %d | %d | %d |%s%s%s\n", streams, path.name, r.Completed, r.Failed, micros, cells(r.FirstToken), cells(r.InterTokenGap), cells(r.Delay))
		results = append(results, r)
	}
	direct, through := results[0], results[1]
	fmt.Printf("| %d | added | | | |%s%s%s\n", streams, addedCells(direct.FirstToken, through.FirstToken), addedCells(direct.InterTokenGap, through.InterTokenGap), addedCells(direct.Delay, through.Delay))
	return nil
}

// runStreams runs the streams. On pathThrough it also writes a processor profile if
// the options name a file for it.
func runStreams(ctx context.Context, o *options, path string, g *loadgen.Generator) (loadgen.Result, error) {
	if o.Profile == "" || path != pathThrough {
		return g.Run(ctx), nil
	}
	file, err := os.Create(o.Profile)
	if err != nil {
		return loadgen.Result{}, errors.Wrap(err, "create the processor profile")
	}
	defer file.Close()
	if err := pprof.StartCPUProfile(file); err != nil {
		return loadgen.Result{}, errors.Wrap(err, "start the processor profile")
	}
	defer pprof.StopCPUProfile()
	return g.Run(ctx), nil
}

// processorTime returns the processor time that this process has used on all cores.
func processorTime() time.Duration {
	var usage syscall.Rusage
	// Getrusage of this process fails only with an invalid argument.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// cells formats a histogram's median and 99th percentile, in milliseconds.
func cells(h *hdrhistogram.Histogram) string {
	return fmt.Sprintf(" %.2f | %.2f |", millis(h, 50), millis(h, 99))
}

// addedCells formats the differences of the median and of the 99th percentile, in
// milliseconds.
func addedCells(direct, through *hdrhistogram.Histogram) string {
	return fmt.Sprintf(" %.2f | %.2f |", millis(through, 50)-millis(direct, 50), millis(through, 99)-millis(direct, 99))
}

// millis returns a percentile of a histogram of microseconds, in milliseconds.
func millis(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) / 1000
}
