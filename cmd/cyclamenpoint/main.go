// Command cyclamenpoint runs an entry node, the demo or one of the operators'
// commands.
package main

import (
	"os"

	"k8s.io/klog/v2"

	"github.com/cyclamenpoint/cyclamenpoint/command"
)

func main() {
	code := command.Run(os.Args[1:], os.Stdout, os.Stderr)
	klog.Flush()
	os.Exit(code)
}
