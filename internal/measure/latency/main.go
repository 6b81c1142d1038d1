// Command latency measures what an entry node and an agent add to the time of a
// streamed answer's tokens. It runs a trivial engine, a real agent and a real
// entry node in one process over loopback TCP, and calls the engine directly and
// through both.
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

// options are the command line.
type options struct {
	Streams []int         `long:"streams" default:"1" default:"16" default:"256" description:"streams at once; may be given several times"`
	Tokens  int           `long:"tokens" default:"10" description:"tokens of a stream"`
	Step    time.Duration `long:"step" default:"20ms" description:"the engine's time for a token"`
	For     time.Duration `long:"for" default:"7s" description:"time for each number of streams and each way"`
	Base    int           `long:"base" default:"19400" description:"first of 400 free ports"`
	Procs   int           `long:"procs" default:"3" description:"processor cores to use"`
	Profile string        `long:"profile" description:"write a processor profile of the calls through both into this file"`
}

const (
	slots = 512
	// The ways of the calls.
	wayDirect  = "direct"
	wayThrough = "through"
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

func measure(ctx context.Context, o *options) error {
	layout := testbed.Layout{BasePort: o.Base, Engines: 1, Slots: slots}
	s := testbed.New(layout)
	defer s.Close()
	if err := s.StartEngines(o.Step); err != nil {
		return err
	}
	if err := s.StartAgents(ctx); err != nil {
		return err
	}
	if err := s.StartEntry(ctx); err != nil {
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

// compare measures both ways with a number of streams and prints the difference.
func compare(ctx context.Context, o *options, layout testbed.Layout, streams int) error {
	var results []loadgen.Result
	// The first streams start over the length of one, so that all are spread.
	length := o.Step * time.Duration(o.Tokens)
	for _, way := range []struct{ name, url string }{{wayDirect, layout.EngineURL(0)}, {wayThrough, layout.CallerURL()}} {
		g := loadgen.New(loadgen.Options{URL: way.url, Streams: streams, Tokens: o.Tokens, StartFor: o.For + length, Ramp: length, Skip: length})
		used := processorTime()
		r, err := profiled(ctx, o, way.name, g)
		if err != nil {
			return err
		}
		if r.Completed == 0 {
			return errors.Wrap(r.FirstError, "no stream ended whole, "+way.name)
		}
		micros := (processorTime() - used).Microseconds() / int64(r.Completed*o.Tokens)
		fmt.Printf("| %d | %s | %d | %d | %d |%s%s%s\n", streams, way.name, r.Completed, r.Failed, micros, cells(r.FirstToken), cells(r.InterTokenGap), cells(r.Delay))
		results = append(results, r)
	}
	d, t := results[0], results[1]
	fmt.Printf("| %d | added | | | |%s%s%s\n", streams, added(d.FirstToken, t.FirstToken), added(d.InterTokenGap, t.InterTokenGap), added(d.Delay, t.Delay))
	return nil
}

// profiled runs the streams, and writes the profile where one is asked for.
func profiled(ctx context.Context, o *options, way string, g *loadgen.Generator) (loadgen.Result, error) {
	if o.Profile == "" || way != wayThrough {
		return g.Run(ctx), nil
	}
	file, err := os.Create(o.Profile)
	if err != nil {
		return loadgen.Result{}, errors.Wrap(err, "write the profile")
	}
	defer file.Close()
	if err := pprof.StartCPUProfile(file); err != nil {
		return loadgen.Result{}, errors.Wrap(err, "start the profile")
	}
	defer pprof.StopCPUProfile()
	return g.Run(ctx), nil
}

// processorTime returns what the process has used of all cores.
func processorTime() time.Duration {
	var usage syscall.Rusage
	// Getrusage of the own process fails only for a bad argument.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// cells prints a histogram's median and 99th percentile in milliseconds.
func cells(h *hdrhistogram.Histogram) string {
	return fmt.Sprintf(" %.2f | %.2f |", millis(h, 50), millis(h, 99))
}

func added(direct, through *hdrhistogram.Histogram) string {
	return fmt.Sprintf(" %.2f | %.2f |", millis(through, 50)-millis(direct, 50), millis(through, 99)-millis(direct, 99))
}

func millis(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}
