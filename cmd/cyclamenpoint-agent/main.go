// Command cyclamenpoint-agent runs the agent of an endpoint. All requests to the
// endpoint go through it, unless it is started with --platform.
package main

import (
	"os"

	"k8s.io/klog/v2"

	"github.com/cyclamenpoint/cyclamenpoint/command"
)

func main() {
	code := command.RunAgent(os.Args[1:], os.Stdout, os.Stderr)
	klog.Flush()
	os.Exit(code)
}
