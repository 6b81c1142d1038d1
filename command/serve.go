package command

import (
	"github.com/cyclamenpoint/cyclamenpoint/node"
	"github.com/cyclamenpoint/cyclamenpoint/settings"
)

// serveCommand runs an entry node until SIGTERM or SIGINT.
type serveCommand struct {
	streams *streams

	Settings string `long:"settings" required:"yes" value-name:"FILE" description:"the node's settings as YAML"`
}

// Execute implements flags.Commander.
func (c *serveCommand) Execute([]string) error {
	s, err := settings.LoadEntry(c.Settings)
	if err != nil {
		return err
	}
	secret, err := s.Secret()
	if err != nil {
		return err
	}
	n, err := node.StartEntry(s, secret, nil)
	if err != nil {
		return err
	}
	return runUntilSignal(n)
}
