package command

import "github.com/cyclamenpoint/cyclamenpoint/launch"

// gatewayCommand runs an entry node on the users' platform.
type gatewayCommand struct {
	streams *streams
}

// Execute implements flags.Commander.
func (c *gatewayCommand) Execute([]string) error {
	return launch.RunGateway(c.streams.out)
}
