package claim

import (
	"flag"
	"io"
	"os"
	"testing"

	"k8s.io/klog/v2"
)

func TestMain(m *testing.M) {
	// Flags on the command line are parsed later and override these values.
	for _, f := range [][2]string{{"rapid.seed", "1"}, {"rapid.nofailfile", "true"}} {
		if err := flag.Set(f[0], f[1]); err != nil {
			panic(err)
		}
	}
	logs := flag.NewFlagSet("logs", flag.PanicOnError)
	klog.InitFlags(logs)
	if err := logs.Parse([]string{"-logtostderr=false", "-stderrthreshold=FATAL"}); err != nil {
		panic(err)
	}
	klog.SetOutput(io.Discard)
	os.Exit(m.Run())
}
