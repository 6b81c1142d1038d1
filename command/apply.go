package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/user"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/cyclamenpoint/cyclamenpoint/deployment"
	pb "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
	"github.com/cyclamenpoint/cyclamenpoint/settings"
)

// ConflictError reports that another configuration was accepted first. Its fields
// describe that configuration, except BasedOn, the version that the rejected one
// was based on.
type ConflictError struct {
	BasedOn  uint64
	Version  uint64
	Hash     string
	Operator string
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("configuration not accepted: it is based on version %d, but %s handed over version %d (hash %.12s) first; compare with config diff and apply again",
		e.BasedOn, e.Operator, e.Version, e.Hash)
}

// ExitCode implements exitCoder.
func (e *ConflictError) ExitCode() int { return ExitConflict }

// UnknownOutcomeError reports that it is unknown whether a configuration was
// accepted.
type UnknownOutcomeError struct {
	Reason string
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return "it is not known whether the configuration was accepted: " + e.Reason + "; check with config show"
}

// ExitCode implements exitCoder.
func (e *UnknownOutcomeError) ExitCode() int { return ExitUnknownOutcome }

// ConfigRejectedError reports faults that the nodes found in a configuration and the
// local check did not.
type ConfigRejectedError struct {
	Faults []string
}

// Error implements error.
func (e *ConfigRejectedError) Error() string {
	return fmt.Sprintf("configuration not accepted, faults found by the node: %q", e.Faults)
}

// ExitCode implements exitCoder.
func (e *ConfigRejectedError) ExitCode() int { return ExitFaults }

// showCommand prints the configuration in force with its version and hash.
type showCommand struct {
	streams *streams

	nodeOptions
}

// Execute implements flags.Commander.
func (c *showCommand) Execute([]string) error {
	inForce, err := c.inForce()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.streams.out, "# version %d, hash %s, handed over by %s, in force for %s\n%s",
		inForce.GetVersion(), inForce.GetHash(), inForce.GetOperator(), formatAge(inForce.GetAgeMillis()), inForce.GetText())
	return errors.Wrap(err, "print the configuration")
}

// inForce returns the configuration in force at the first node that answers.
func (o *nodeOptions) inForce() (*pb.GetConfigResponse, error) {
	return callAny(o, func(ctx context.Context, n nodeClient) (*connect.Response[pb.GetConfigResponse], error) {
		return n.GetConfig(ctx, connect.NewRequest(&pb.GetConfigRequest{}))
	})
}

// diffCommand compares a file with the configuration in force.
type diffCommand struct {
	streams *streams

	nodeOptions
	Args fileArgument `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute([]string) error {
	next, err := loadDeployment(c.Args.File)
	if err != nil {
		return err
	}
	inForce, err := c.inForce()
	if err != nil {
		return err
	}
	old, err := deployment.Parse("(in force)", inForce.GetText())
	if err != nil {
		return err
	}
	return printDiff(c.streams.out, old, next)
}

func printDiff(w io.Writer, old, next *deployment.Deployment) error {
	changes, err := deployment.Diff(old, next)
	if err != nil {
		return err
	}
	for _, change := range changes {
		if _, err := fmt.Fprintln(w, change); err != nil {
			return errors.Wrap(err, "print the changes")
		}
	}
	return nil
}

// applyCommand submits a configuration.
type applyCommand struct {
	streams *streams

	nodeOptions
	BasedOn  *uint64      `long:"based-on" value-name:"VERSION" description:"the version that the change started from; by default the one in force"`
	Operator string       `long:"operator" value-name:"NAME" description:"who hands it over; by default the user"`
	Args     fileArgument `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	if _, err := loadDeployment(c.Args.File); err != nil {
		return err
	}
	text, err := os.ReadFile(c.Args.File)
	if err != nil {
		return &settings.FileError{File: c.Args.File, Cause: err}
	}
	basedOn, err := c.basedOn()
	if err != nil {
		return err
	}
	return c.apply(c.streams.out, text, basedOn, c.Operator)
}

func (c *applyCommand) basedOn() (uint64, error) {
	if c.BasedOn != nil {
		return *c.BasedOn, nil
	}
	inForce, err := c.inForce()
	if err != nil {
		return 0, err
	}
	return inForce.GetVersion(), nil
}

// apply submits text and prints the accepted version. It returns a
// *ConfigRejectedError or *ConflictError if the configuration was rejected, and an
// *UnknownOutcomeError if its outcome is unknown.
func (o *nodeOptions) apply(w io.Writer, text []byte, basedOn uint64, operator string) error {
	hash, err := hashOf(text)
	if err != nil {
		return err
	}
	resp, err := callAny(o, func(ctx context.Context, n nodeClient) (*connect.Response[pb.ApplyConfigResponse], error) {
		return n.ApplyConfig(ctx, connect.NewRequest(&pb.ApplyConfigRequest{
			Text: text, BasedOn: basedOn, Operator: operatorName(operator),
		}))
	})
	if err != nil {
		// The node may have submitted it before the connection failed.
		return &UnknownOutcomeError{Reason: err.Error()}
	}
	switch {
	case len(resp.GetFaults()) > 0:
		return &ConfigRejectedError{Faults: resp.GetFaults()}
	case resp.GetConflict().GetHash() == hash:
		// The same configuration was accepted before, for example in an attempt
		// whose response was lost.
		resp.Version = resp.GetConflict().GetVersion()
	case resp.GetConflict() != nil:
		conflict := resp.GetConflict()
		return &ConflictError{BasedOn: basedOn, Version: conflict.GetVersion(), Hash: conflict.GetHash(), Operator: conflict.GetOperator()}
	case !resp.GetAccepted():
		return &UnknownOutcomeError{Reason: resp.GetUnavailable()}
	}
	_, err = fmt.Fprintf(w, "accepted as version %d, hash %s\n", resp.GetVersion(), hash)
	return errors.Wrap(err, "print the accepted version")
}

// hashOf returns the hash of the canonical form of a configuration.
func hashOf(text []byte) (string, error) {
	d, err := deployment.Parse("configuration", text)
	if err != nil {
		return "", err
	}
	return d.Hash()
}

func operatorName(given string) string {
	if given != "" {
		return given
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// drainCommand changes the weight of an endpoint, a VM or a failure domain in the
// configuration in force.
type drainCommand struct {
	streams *streams
	// defaultWeight applies if no weight is given.
	defaultWeight int

	nodeOptions
	Weight   *int   `long:"weight" value-name:"0-100" description:"the weight to give; by default 0 for drain and 100 for undrain"`
	Operator string `long:"operator" value-name:"NAME" description:"who hands it over; by default the user"`
	Args     struct {
		Scope string `positional-arg-name:"endpoint|vm|failure_domain" required:"yes"`
		Name  string `positional-arg-name:"NAME" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *drainCommand) Execute([]string) error {
	inForce, err := c.inForce()
	if err != nil {
		return err
	}
	old, err := deployment.Parse("(in force)", inForce.GetText())
	if err != nil {
		return err
	}
	weight := c.defaultWeight
	if c.Weight != nil {
		weight = *c.Weight
	}
	next, err := old.WithWeight(deployment.Scope(c.Args.Scope), c.Args.Name, weight)
	if err != nil {
		return err
	}
	if err := printDiff(c.streams.out, old, next); err != nil {
		return err
	}
	text, err := next.Canonical()
	if err != nil {
		return err
	}
	return c.apply(c.streams.out, text, inForce.GetVersion(), c.Operator)
}
