package command

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	pb "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
)

// claimsCommand lists the claims that are running or whose outcome is unknown.
type claimsCommand struct {
	streams *streams

	nodeOptions
}

// Execute implements flags.Commander.
func (c *claimsCommand) Execute([]string) error {
	resp, err := callAny(&c.nodeOptions, func(ctx context.Context, n nodeClient) (*connect.Response[pb.ListClaimsResponse], error) {
		return n.ListClaims(ctx, connect.NewRequest(&pb.ListClaimsRequest{}))
	})
	if err != nil {
		return err
	}
	p := newPrinter(c.streams.out)
	p.row("STATE\tORGANISATION\tROUTE\tKEY\tENDPOINT\tSINCE\tROW")
	for _, s := range resp.GetClaims() {
		p.row("%s\t%s\t%s\t%s\t%s\t%s\t%s", s.GetState(), s.GetOrganisation(), s.GetRoute(), s.GetKey(), s.GetEndpoint(), s.GetSince(), s.GetRow())
	}
	return p.flush()
}

// resolveCommand records the outcome of a claim whose outcome is unknown.
type resolveCommand struct {
	streams *streams

	nodeOptions
	Operator string `long:"operator" value-name:"NAME" description:"who settles it; by default the user"`
	Args     struct {
		Row     string `positional-arg-name:"ROW" required:"yes" description:"the claim's row, from claims list"`
		Verdict string `positional-arg-name:"ran|not-run" required:"yes" description:"what became of the request"`
	} `positional-args:"yes"`
}

// InvalidVerdictError reports a verdict other than ran and not-run.
type InvalidVerdictError struct {
	Verdict string
}

// Error implements error.
func (e *InvalidVerdictError) Error() string {
	return fmt.Sprintf("invalid verdict %q: must be ran or not-run", e.Verdict)
}

// ExitCode implements exitCoder.
func (e *InvalidVerdictError) ExitCode() int { return ExitUsage }

// Execute implements flags.Commander.
func (c *resolveCommand) Execute([]string) error {
	if c.Args.Verdict != "ran" && c.Args.Verdict != "not-run" {
		return &InvalidVerdictError{Verdict: c.Args.Verdict}
	}
	_, err := callAny(&c.nodeOptions, func(ctx context.Context, n nodeClient) (*connect.Response[pb.ResolveClaimResponse], error) {
		return n.ResolveClaim(ctx, connect.NewRequest(&pb.ResolveClaimRequest{
			Row: c.Args.Row, Ran: c.Args.Verdict == "ran", Operator: operatorName(c.Operator),
		}))
	})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.streams.out, "resolved as %s\n", c.Args.Verdict)
	return errors.Wrap(err, "print the verdict")
}

// retireCommand declares that the agent of an endpoint will not return, so that the
// outcome of the claims it left running counts as unknown.
type retireCommand struct {
	streams *streams

	nodeOptions
	Operator string `long:"operator" value-name:"NAME" description:"who says so; by default the user"`
	Args     struct {
		Endpoint string `positional-arg-name:"ENDPOINT" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *retireCommand) Execute([]string) error {
	_, err := callAny(&c.nodeOptions, func(ctx context.Context, n nodeClient) (*connect.Response[pb.RetireEndpointResponse], error) {
		return n.RetireEndpoint(ctx, connect.NewRequest(&pb.RetireEndpointRequest{
			Endpoint: c.Args.Endpoint, Operator: operatorName(c.Operator),
		}))
	})
	return err
}

// quarantineCommand lists the fingerprints that are suspect or quarantined.
type quarantineCommand struct {
	streams *streams

	nodeOptions
}

// Execute implements flags.Commander.
func (c *quarantineCommand) Execute([]string) error {
	resp, err := callAny(&c.nodeOptions, func(ctx context.Context, n nodeClient) (*connect.Response[pb.ListQuarantineResponse], error) {
		return n.ListQuarantine(ctx, connect.NewRequest(&pb.ListQuarantineRequest{}))
	})
	if err != nil {
		return err
	}
	p := newPrinter(c.streams.out)
	p.row("STATE\tCRASHES\tEXPIRES IN\tFINGERPRINT")
	for _, e := range resp.GetEntries() {
		left := time.Duration(e.GetExpiresMillis()) * time.Millisecond
		p.row("%s\t%d\t%s\t%s", e.GetState(), e.GetCrashes(), left.Round(time.Second), e.GetFingerprint())
	}
	return p.flush()
}

// clearCommand clears the crashes of a suspect or quarantined fingerprint.
type clearCommand struct {
	streams *streams

	nodeOptions
	Operator string `long:"operator" value-name:"NAME" description:"who frees it; by default the user"`
	Args     struct {
		Fingerprint string `positional-arg-name:"FINGERPRINT" required:"yes"`
	} `positional-args:"yes"`
}

// NotQuarantinedError reports a fingerprint that is neither suspect nor quarantined.
type NotQuarantinedError struct {
	Fingerprint string
}

// Error implements error.
func (e *NotQuarantinedError) Error() string {
	return "fingerprint " + e.Fingerprint + " is neither suspect nor quarantined"
}

// Execute implements flags.Commander.
func (c *clearCommand) Execute([]string) error {
	resp, err := callAny(&c.nodeOptions, func(ctx context.Context, n nodeClient) (*connect.Response[pb.ClearQuarantineResponse], error) {
		return n.ClearQuarantine(ctx, connect.NewRequest(&pb.ClearQuarantineRequest{
			Fingerprint: c.Args.Fingerprint, Operator: operatorName(c.Operator),
		}))
	})
	if err != nil {
		return err
	}
	if !resp.GetFound() {
		return &NotQuarantinedError{Fingerprint: c.Args.Fingerprint}
	}
	return nil
}
