// Command cyclamenpoint-agent runs the agent of an endpoint, through which all
// requests to the endpoint go.
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
