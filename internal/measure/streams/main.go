// Command streams measures the memory of an entry node that carries many
// streams. Each role runs in a process of its own, started by hand: the engines,
// the agents with the platform's stand-ins, the entry node, and the load.
package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime"
	"runtime/metrics"
	"runtime/pprof"
	"strings"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/cyclamenpoint/cyclamenpoint/internal/measure/latency/loadgen"
	"github.com/cyclamenpoint/cyclamenpoint/internal/measure/latency/testbed"
)

// options are the command line.
type options struct {
	Role    string        `long:"role" required:"true" choice:"engines" choice:"agents" choice:"entry" choice:"load" description:"what this process is"`
	Streams int           `long:"streams" default:"10000" description:"streams at once"`
	Tokens  int           `long:"tokens" default:"40" description:"tokens of a stream"`
	Step    time.Duration `long:"step" default:"900ms" description:"the engines' time for a token"`
	Ramp    time.Duration `long:"ramp" default:"20s" description:"time over which the streams start"`
	Engines int           `long:"engines" default:"16" description:"engines, each with an agent"`
	Base    int           `long:"base" default:"19000" description:"first of 400 free ports"`
	Every   time.Duration `long:"every" default:"5s" description:"time between two lines"`
	Heap    string        `long:"heap" description:"write a profile of the heap into this file at the end"`
	Procs   int           `long:"procs" default:"3" description:"processor cores to use"`
}

// slotsPercent leaves room for an uneven spread over the engines.
const slotsPercent = 200

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	runtime.GOMAXPROCS(o.Procs)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, &o); err != nil {
		os.Stderr.WriteString("streams: " + err.Error() + "\n")
		os.Exit(1)
	}
}

// run plays the role until a signal comes, or until the load has ended.
func run(ctx context.Context, o *options) error {
	layout := testbed.Layout{BasePort: o.Base, Engines: o.Engines, Slots: o.Streams * slotsPercent / 100 / o.Engines}
	if o.Role == "load" {
		generate(ctx, o, layout)
		return nil
	}
	s := testbed.New(layout)
	defer s.Close()
	if err := start(ctx, s, o); err != nil {
		return err
	}
	ticker := time.NewTicker(o.Every)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return writeHeap(o.Heap)
		case <-ticker.C:
			fmt.Println(o.Role + ": " + usage())
		}
	}
}

func start(ctx context.Context, s *testbed.Testbed, o *options) error {
	switch o.Role {
	case "engines":
		return s.StartEngines(o.Step)
	case "agents":
		return s.StartAgents(ctx)
	}
	return s.StartEntry(ctx)
}

// generate runs the streams and prints how many are open.
func generate(ctx context.Context, o *options, layout testbed.Layout) {
	g := loadgen.New(loadgen.Options{URL: layout.CallerURL(), Streams: o.Streams, Tokens: o.Tokens, Ramp: o.Ramp})
	ended := make(chan loadgen.Result, 1)
	go func() { ended <- g.Run(ctx) }()
	ticker := time.NewTicker(o.Every)
	defer ticker.Stop()
	for {
		select {
		case r := <-ended:
			fmt.Printf("load: %d streams whole, %d failed (%d refused, %d cut off), first failure: %v\n", r.Completed, r.Failed, r.Rejected, r.Truncated, r.FirstError)
			fmt.Printf("load: first token p50 %.1f ms, p99 %.1f ms; delay of later tokens p50 %.1f ms, p99 %.1f ms\n",
				float64(r.FirstToken.ValueAtQuantile(50))/1000, float64(r.FirstToken.ValueAtQuantile(99))/1000,
				float64(r.Delay.ValueAtQuantile(50))/1000, float64(r.Delay.ValueAtQuantile(99))/1000)
			return
		case <-ticker.C:
			fmt.Printf("load: %d streams open\n", g.OpenStreams())
		}
	}
}

// writeHeap writes a profile of the heap, where one is asked for.
func writeHeap(name string) error {
	if name == "" {
		return nil
	}
	file, err := os.Create(name)
	if err != nil {
		return errors.Wrap(err, "write the profile")
	}
	defer file.Close()
	return errors.Wrap(pprof.WriteHeapProfile(file), "write the profile")
}

// usage returns the process's memory and goroutines.
func usage() string {
	samples := []metrics.Sample{
		{Name: "/memory/classes/total:bytes"},
		{Name: "/memory/classes/heap/objects:bytes"},
		{Name: "/memory/classes/heap/stacks:bytes"},
		{Name: "/sched/goroutines:goroutines"},
	}
	metrics.Read(samples)
	return fmt.Sprintf("%s, runtime total %d MB, heap objects %d MB, stacks %d MB, %d goroutines", resident(),
		samples[0].Value.Uint64()>>20, samples[1].Value.Uint64()>>20, samples[2].Value.Uint64()>>20, samples[3].Value.Uint64())
}

// resident returns the lines of the kernel about the resident set.
func resident() string {
	file, err := os.Open("/proc/self/status")
	if err != nil {
		return "resident set unknown"
	}
	defer file.Close()
	var found []string
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		if strings.HasPrefix(scanner.Text(), "VmRSS") || strings.HasPrefix(scanner.Text(), "VmHWM") {
			found = append(found, strings.Join(strings.Fields(scanner.Text()), " "))
		}
	}
	return strings.Join(found, ", ")
}
