package quota

import (
	"flag"
	"io"
	"os"
	"testing"

	"k8s.io/klog/v2"
)

var measure = flag.Bool("measure", false, "print the tables of docs/measurements/quota.md")

// TestMain sets the seed of the generated histories and disables log output.
func TestMain(m *testing.M) {
	flag.Parse()
	setFlagDefault("rapid.seed", "0", "1")
	setFlagDefault("rapid.checks", "100", "1000")
	setFlagDefault("rapid.nofailfile", "false", "true")
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	os.Exit(m.Run())
}

// setFlagDefault sets a flag that still has its default value. A value from the
// command line is kept.
func setFlagDefault(name, current, value string) {
	if f := flag.Lookup(name); f.Value.String() == current {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
