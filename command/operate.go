package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"sort"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	pb "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
	"github.com/cyclamenpoint/cyclamenpoint/timeline"
)

// Layout of the printed tables: the space between columns and the number of hash
// digits, in characters.
const (
	columnPadding = 2
	hashDigits    = 12
)

// printer writes a table and stores the first error.
type printer struct {
	table *tabwriter.Writer
	err   error
}

func newPrinter(w io.Writer) *printer {
	return &printer{table: tabwriter.NewWriter(w, 0, 0, columnPadding, ' ', 0)}
}

func (p *printer) row(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.table, format+"\n", args...)
	}
}

func (p *printer) flush() error {
	if p.err == nil {
		p.err = p.table.Flush()
	}
	return errors.Wrap(p.err, "print the table")
}

// statusCommand prints the status of nodes.
type statusCommand struct {
	streams *streams

	nodeOptions
}

// Execute implements flags.Commander. It prints the status of the nodes that answer
// and returns an error if any node does not.
func (c *statusCommand) Execute([]string) error {
	clients, err := c.clients()
	if err != nil {
		return err
	}
	var statuses []*pb.StatusResponse
	var lastErr error
	for _, client := range clients {
		status, err := callNode(client, func(ctx context.Context, n nodeClient) (*connect.Response[pb.StatusResponse], error) {
			return n.Status(ctx, connect.NewRequest(&pb.StatusRequest{}))
		})
		if err != nil {
			lastErr = err
			continue
		}
		statuses = append(statuses, status)
	}
	if err := printStatuses(c.streams.out, statuses); err != nil {
		return err
	}
	return lastErr
}

func printStatuses(w io.Writer, statuses []*pb.StatusResponse) error {
	var newest uint64
	for _, s := range statuses {
		newest = max(newest, s.GetConfigVersion())
	}
	p := newPrinter(w)
	p.row("NODE\tROLE\tFAILURE DOMAIN\tREADY\tCONFIG\tHASH\tIN FORCE FOR\tIN FLIGHT")
	for _, s := range statuses {
		p.row("%s\t%s\t%s\t%s\t%s\t%.*s\t%s\t%d", s.GetNode(), s.GetRole(), s.GetFailureDomain(), readiness(s),
			formatVersion(s.GetConfigVersion(), newest), hashDigits, s.GetConfigHash(), formatAge(s.GetConfigAgeMillis()), s.GetInFlight())
	}
	for _, s := range statuses {
		printDetails(p, s)
	}
	return p.flush()
}

// printDetails prints a node's view of groups, endpoints and other nodes.
func printDetails(p *printer, s *pb.StatusResponse) {
	for _, g := range s.GetGroups() {
		p.row("group %s as %s sees it:\tmap %d\tepoch %d\tcoordinator %s\tskew %.3f", g.GetGroup(), s.GetNode(), g.GetMapVersion(), g.GetEpoch(), g.GetCoordinator(), g.GetSkew())
	}
	for _, e := range s.GetEndpoints() {
		p.row("endpoint %s as %s sees it:\t%s\tweight %d\tqueued %d\trunning %d", e.GetEndpoint(), s.GetNode(), e.GetState(), e.GetWeight(), e.GetQueued(), e.GetRunning())
	}
	for _, n := range s.GetNodes() {
		p.row("node %s as %s sees it:\t%s\t%s\tconfig %d", n.GetName(), s.GetNode(), n.GetRole(), n.GetState(), n.GetConfigVersion())
	}
}

func readiness(s *pb.StatusResponse) string {
	if s.GetReady() {
		return "yes"
	}
	return "no: " + s.GetNotReadyReason()
}

func formatVersion(version, newest uint64) string {
	if version < newest {
		return fmt.Sprintf("%d, behind %d", version, newest)
	}
	return fmt.Sprint(version)
}

func formatAge(millis int64) string {
	return (time.Duration(millis) * time.Millisecond).Round(time.Second).String()
}

// explainCommand prints the routing decisions on a request.
type explainCommand struct {
	streams *streams

	nodeOptions
	Logs []string `long:"log" value-name:"FILE" description:"a file of log lines, - for standard input; read instead of asking nodes, and may be given several times"`
	Args struct {
		RequestID string `positional-arg-name:"REQUEST-ID" required:"yes" description:"the answer's X-Request-Id"`
	} `positional-args:"yes"`
}

// printTimeline prints the log lines about the request from log files, in order.
func (c *explainCommand) printTimeline() error {
	logs := make([]io.Reader, 0, len(c.Logs))
	for _, name := range c.Logs {
		if name == "-" {
			logs = append(logs, os.Stdin)
			continue
		}
		file, err := os.Open(name)
		if err != nil {
			return errors.Wrap(err, "open a log")
		}
		defer file.Close()
		logs = append(logs, file)
	}
	requestTimeline, err := timeline.Read(c.Args.RequestID, logs...)
	if err != nil {
		return errors.Wrap(err, "read the logs")
	}
	return errors.Wrap(requestTimeline.Write(c.streams.out), "print the timeline")
}

// NoDecisionsError reports a request for which no node has recorded a decision.
type NoDecisionsError struct {
	RequestID string
	Nodes     int
}

// Error implements error.
func (e *NoDecisionsError) Error() string {
	return fmt.Sprintf("none of the %d nodes has a record of request %s", e.Nodes, e.RequestID)
}

// Execute implements flags.Commander. It ignores nodes that do not answer if another
// node has a decision.
func (c *explainCommand) Execute([]string) error {
	if len(c.Logs) > 0 {
		return c.printTimeline()
	}
	clients, err := c.clients()
	if err != nil {
		return err
	}
	var found []*pb.Decision
	var lastErr error
	for _, client := range clients {
		resp, err := callNode(client, func(ctx context.Context, n nodeClient) (*connect.Response[pb.ExplainResponse], error) {
			return n.Explain(ctx, connect.NewRequest(&pb.ExplainRequest{RequestId: c.Args.RequestID}))
		})
		if err != nil {
			lastErr = err
			continue
		}
		found = append(found, resp.GetDecisions()...)
	}
	if len(found) == 0 {
		if lastErr != nil {
			return lastErr
		}
		return &NoDecisionsError{RequestID: c.Args.RequestID, Nodes: len(clients)}
	}
	return printDecisions(c.streams.out, found)
}

// printDecisions prints the decisions of all nodes, oldest first.
func printDecisions(w io.Writer, decisions []*pb.Decision) error {
	sort.SliceStable(decisions, func(i, j int) bool { return decisions[i].GetAgeMillis() > decisions[j].GetAgeMillis() })
	p := newPrinter(w)
	for _, d := range decisions {
		p.row("%s ago\t%s\t%s\t%s", time.Duration(d.GetAgeMillis())*time.Millisecond, d.GetNode(), d.GetPart(), d.GetText())
	}
	return p.flush()
}
