// Command streams measures the memory of an entry node that serves many
// concurrent streams. Each role runs in a separate process, which is started
// manually: the engines, the agents together with the stand-ins for the
// platform's services, the entry node, and the load generator.
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

// options are the command line flags.
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

// slotsPercent is the number of slots of all engines, in percent of the
// streams. The spare slots allow for an uneven distribution of the streams over
// the engines.
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

// run runs the role until ctx ends or, as the load generator, until all streams
// have ended. The other roles print the memory of their process periodically.
func run(ctx context.Context, o *options) error {
	layout := testbed.Layout{BasePort: o.Base, Engines: o.Engines, Slots: o.Streams * slotsPercent / 100 / o.Engines}
	if o.Role == "load" {
		generate(ctx, o, layout)
		return nil
	}
	bed := testbed.New(layout)
	defer bed.Close()
	if err := start(ctx, bed, o); err != nil {
		return err
	}
	ticker := time.NewTicker(o.Every)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return writeHeapProfile(o.Heap)
		case <-ticker.C:
			fmt.Println(o.Role + ": " + memoryUsage())
		}
	}
}

// start starts the parts of the testbed that belong to the role.
func start(ctx context.Context, bed *testbed.Testbed, o *options) error {
	switch o.Role {
	case "engines":
		return bed.StartEngines(o.Step)
	case "agents":
		return bed.StartAgents(ctx)
	}
	return bed.StartEntry(ctx)
}

// generate runs the streams. It prints the number of open streams periodically
// and the results at the end.
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

// writeHeapProfile writes a heap profile to the file with the given name. It does
// nothing if the name is empty.
func writeHeapProfile(name string) error {
	if name == "" {
		return nil
	}
	file, err := os.Create(name)
	if err != nil {
		return errors.Wrap(err, "create the heap profile")
	}
	defer file.Close()
	return errors.Wrap(pprof.WriteHeapProfile(file), "write the heap profile")
}

// memoryUsage returns the memory and the number of goroutines of this process.
func memoryUsage() string {
	samples := []metrics.Sample{
		{Name: "/memory/classes/total:bytes"},
		{Name: "/memory/classes/heap/objects:bytes"},
		{Name: "/memory/classes/heap/stacks:bytes"},
		{Name: "/sched/goroutines:goroutines"},
	}
	metrics.Read(samples)
	return fmt.Sprintf("%s, runtime total %d MB, heap objects %d MB, stacks %d MB, %d goroutines", residentSet(),
		samples[0].Value.Uint64()>>20, samples[1].Value.Uint64()>>20, samples[2].Value.Uint64()>>20, samples[3].Value.Uint64())
}

// residentSet returns the current and the peak size of the resident set, as the
// kernel reports them.
func residentSet() string {
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
