package quota

import (
	"flag"
	"io"
	"os"
	"testing"

	"k8s.io/klog/v2"
)

var measure = flag.Bool("measure", false, "print the tables of docs/measurements/quota.md")

// TestMain fixes the seed of the generated histories and silences the logs.
func TestMain(m *testing.M) {
	flag.Parse()
	fix("rapid.seed", "0", "1")
	fix("rapid.checks", "100", "1000")
	fix("rapid.nofailfile", "false", "true")
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	os.Exit(m.Run())
}

// fix replaces a flag's default, not a value from the command line.
func fix(name, byDefault, value string) {
	if f := flag.Lookup(name); f.Value.String() == byDefault {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
