package command

import "github.com/cyclamenpoint/cyclamenpoint/demo"

// demoCommand runs the demo until SIGTERM or SIGINT.
type demoCommand struct {
	streams *streams

	Listen string `long:"listen" default:"127.0.0.1:18080" value-name:"IP:PORT" description:"where the first entry node listens for callers"`
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	d, err := demo.Start(demo.Options{Listen: c.Listen, StepTime: demo.DefaultStepTime})
	if err != nil {
		return err
	}
	if err := d.Describe(c.streams.out); err != nil {
		return err
	}
	return runUntilSignal(d)
}
