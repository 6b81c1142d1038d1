package command

import (
	"fmt"
	"os"

	"github.com/pkg/errors"

	"github.com/cyclamenpoint/cyclamenpoint/deployment"
	"github.com/cyclamenpoint/cyclamenpoint/schema"
	"github.com/cyclamenpoint/cyclamenpoint/settings"
)

// fileArgument is the argument of commands that read a configuration file.
type fileArgument struct {
	File string `positional-arg-name:"FILE" required:"yes" description:"the configuration as YAML"`
}

// checkCommand checks a configuration file.
type checkCommand struct {
	streams *streams

	Args fileArgument `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	d, err := loadDeployment(c.Args.File)
	if err != nil {
		return err
	}
	hash, err := d.Hash()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.streams.out, "%s: deployment %s is valid: %d endpoints, %d organisations, hash %s\n",
		c.Args.File, d.Name, len(d.Endpoints), len(d.Organisations), hash)
	return errors.Wrap(err, "print the result")
}

func loadDeployment(file string) (*deployment.Deployment, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, &settings.FileError{File: file, Cause: err}
	}
	return deployment.Parse(file, text)
}

// schemaCommand prints the JSON Schema of a configuration.
type schemaCommand struct {
	streams *streams
}

// Execute implements flags.Commander.
func (c *schemaCommand) Execute([]string) error {
	text, err := schema.JSON()
	if err != nil {
		return err
	}
	_, err = c.streams.out.Write(text)
	return errors.Wrap(err, "print the schema")
}
