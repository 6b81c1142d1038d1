package command

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/cyclamenpoint/cyclamenpoint/deployment"
	pb "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
)

// roleEntry is the role of entry nodes in a status response. Only they pick endpoints.
const roleEntry = "entry"

const (
	// applyRetryInterval is the time between two tries to apply a change because another
	// configuration was accepted first. The change does not depend on the rest of the
	// configuration.
	applyRetryInterval = 500 * time.Millisecond
	// maxApplyTries limits these tries. The other configuration is in force at the nodes
	// within 5 s.
	maxApplyTries = 12
)

// evacuateCommand evacuates a failure domain in the configuration in force, or ends that.
type evacuateCommand struct {
	streams *streams
	// withdraw is true to end an evacuation.
	withdraw bool

	nodeOptions
	Operator string `long:"operator" value-name:"NAME" description:"who hands it over; by default the user"`
	Args     struct {
		Domain string `positional-arg-name:"FAILURE-DOMAIN" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *evacuateCommand) Execute([]string) error {
	for try := 1; ; try++ {
		err := c.applyOnce()
		if !errors.As(err, new(*ConflictError)) || try == maxApplyTries {
			return err
		}
		time.Sleep(applyRetryInterval)
	}
}

// applyOnce applies the change to the configuration in force. The error is a *ConflictError
// if another configuration was accepted meanwhile. A change without an effect is applied too:
// only this shows that the node knows the newest configuration.
func (c *evacuateCommand) applyOnce() error {
	inForce, err := c.inForce()
	if err != nil {
		return err
	}
	old, err := deployment.Parse("(in force)", inForce.GetText())
	if err != nil {
		return err
	}
	next, err := old.WithEvacuation(c.Args.Domain, !c.withdraw)
	if err != nil {
		return err
	}
	text, err := next.Canonical()
	if err != nil {
		return err
	}
	return c.apply(c.streams.out, text, inForce.GetVersion(), c.Operator)
}

// showEvacuationsCommand prints the evacuated failure domains and the entry nodes that have
// applied them.
type showEvacuationsCommand struct {
	streams *streams

	nodeOptions
}

// Execute implements flags.Commander. It prints what the nodes that answer know, and returns
// an error if any named node does not answer.
func (c *showEvacuationsCommand) Execute([]string) error {
	clients, err := c.clients()
	if err != nil {
		return err
	}
	var newest *pb.GetConfigResponse
	var statuses []*pb.StatusResponse
	var lastErr error
	for _, client := range clients {
		inForce, err := callNode(client, func(ctx context.Context, n nodeClient) (*connect.Response[pb.GetConfigResponse], error) {
			return n.GetConfig(ctx, connect.NewRequest(&pb.GetConfigRequest{}))
		})
		if err != nil {
			lastErr = err
			continue
		}
		if newest == nil || inForce.GetVersion() > newest.GetVersion() {
			newest = inForce
		}
		status, err := callNode(client, func(ctx context.Context, n nodeClient) (*connect.Response[pb.StatusResponse], error) {
			return n.Status(ctx, connect.NewRequest(&pb.StatusRequest{}))
		})
		if err != nil {
			lastErr = err
			continue
		}
		statuses = append(statuses, status)
	}
	if newest == nil {
		return lastErr
	}
	d, err := deployment.Parse("(in force)", newest.GetText())
	if err != nil {
		return err
	}
	if err := printEvacuations(c.streams.out, d.Evacuated, newest.GetVersion(), statuses); err != nil {
		return err
	}
	return lastErr
}

// nodeVersion is an entry node with the newest version of the configuration that it is known
// to work by.
type nodeVersion struct {
	name, state string
	version     uint64
}

// entryVersions returns the entry nodes that the statuses are from or name, by name. What a
// node states itself comes before what others know of it.
func entryVersions(statuses []*pb.StatusResponse) []nodeVersion {
	nodes := make(map[string]nodeVersion)
	for _, s := range statuses {
		for _, n := range s.GetNodes() {
			if n.GetRole() == roleEntry && n.GetConfigVersion() >= nodes[n.GetName()].version {
				nodes[n.GetName()] = nodeVersion{name: n.GetName(), state: n.GetState(), version: n.GetConfigVersion()}
			}
		}
	}
	for _, s := range statuses {
		if s.GetRole() == roleEntry {
			nodes[s.GetNode()] = nodeVersion{name: s.GetNode(), state: "answers", version: s.GetConfigVersion()}
		}
	}
	list := make([]nodeVersion, 0, len(nodes))
	for _, n := range nodes {
		list = append(list, n)
	}
	slices.SortFunc(list, func(a, b nodeVersion) int { return cmp.Compare(a.name, b.name) })
	return list
}

// printEvacuations prints the evacuated failure domains in a version of the configuration,
// and which entry nodes work by it.
func printEvacuations(w io.Writer, domains []string, version uint64, statuses []*pb.StatusResponse) error {
	evacuated := "none"
	if len(domains) > 0 {
		evacuated = strings.Join(domains, ", ")
	}
	if _, err := fmt.Fprintf(w, "evacuated in version %d: %s\n", version, evacuated); err != nil {
		return errors.Wrap(err, "print the evacuations")
	}
	p := newPrinter(w)
	p.row("ENTRY NODE\tSTATE\tAPPLIED")
	for _, n := range entryVersions(statuses) {
		applied := "yes"
		if n.version < version {
			applied = fmt.Sprintf("no, has version %d", n.version)
		}
		p.row("%s\t%s\t%s", n.name, n.state, applied)
	}
	return p.flush()
}
