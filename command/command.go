// Package command implements the command lines of the programs cyclamenpoint and
// cyclamenpoint-agent: the entry node, the demo, the operators' commands and the
// agent.
//
// The exit code is 0 on success, 1 on failure, 2 on wrong usage, 3 if the
// configuration has faults, 4 on a conflict with another operator's configuration,
// and 5 if the outcome is unknown.
package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/cyclamenpoint/cyclamenpoint/strictyaml"
)

// Version is the program's version.
const Version = "0.1.0"

// fullWeight is the drain weight, in percent, of an endpoint that receives its full
// share of requests.
const fullWeight = 100

// Exit codes.
const (
	ExitOK             = 0
	ExitFailure        = 1
	ExitUsage          = 2
	ExitFaults         = 3
	ExitConflict       = 4
	ExitUnknownOutcome = 5
)

// streams are the outputs of a command; tests replace them.
type streams struct {
	out io.Writer
	err io.Writer
}

// exitCoder is an error that determines the exit code.
type exitCoder interface {
	error
	ExitCode() int
}

// Run runs cyclamenpoint with args, which exclude the program name, and returns the
// exit code.
func Run(args []string, out, errOut io.Writer) int {
	parser := newParser(&streams{out: out, err: errOut})
	_, err := parser.ParseArgs(args)
	return report(err, out, errOut)
}

// report prints err, or the help text on out, and returns the exit code.
func report(err error, out, errOut io.Writer) int {
	if err == nil {
		return ExitOK
	}
	var flagErr *flags.Error
	if errors.As(err, &flagErr) {
		if flagErr.Type == flags.ErrHelp {
			_, _ = fmt.Fprintln(out, flagErr.Message)
			return ExitOK
		}
		_, _ = fmt.Fprintln(errOut, flagErr.Message)
		return ExitUsage
	}
	_, _ = fmt.Fprintln(errOut, err.Error())
	var faults *strictyaml.FaultsError
	if errors.As(err, &faults) {
		return ExitFaults
	}
	var coder exitCoder
	if errors.As(err, &coder) {
		return coder.ExitCode()
	}
	return ExitFailure
}

// subcommand is a command with its help texts and its options.
type subcommand struct {
	name  string
	short string
	long  string
	data  any
}

func newParser(s *streams) *flags.Parser {
	parser := flags.NewNamedParser("cyclamenpoint", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "load balancer for expert-parallel model groups"
	parser.LongDescription = "cyclamenpoint runs an entry node and the operators' commands."
	addCommands(parser.Command, []subcommand{
		{"serve", "Run an entry node", "Runs an entry node until SIGTERM, then waits for the answers in flight.", &serveCommand{streams: s}},
		{"gateway", "Run an entry node on the users' platform", "Runs an entry node where endpoints announce themselves, until SIGTERM. The platform's settings file says where it stands.", &gatewayCommand{streams: s}},
		{"demo", "Run a whole deployment on stand-ins", "Runs a whole deployment in one process over loopback, until SIGTERM.", &demoCommand{streams: s}},
		{"status", "Show the nodes' condition", "Shows readiness, configuration and load of the named nodes, and which of them are behind.", &statusCommand{streams: s}},
		{"explain", "Tell why a request went where it went", "Collects the named nodes' decisions on a request.", &explainCommand{streams: s}},
		{"drain", "Take weight from an endpoint, a VM or a failure domain", "Hands over the configuration in force with a smaller weight; work in flight ends as usual.", &drainCommand{streams: s}},
		{"undrain", "Give the weight back", "Hands over the configuration in force with the full weight.", &drainCommand{streams: s, defaultWeight: fullWeight}},
		{"version", "Print the version", "Prints the program's version.", &versionCommand{streams: s}},
	})
	// AddCommand fails only on invalid option data. An empty struct is valid, so the
	// errors are ignored.
	group, _ := parser.AddCommand("config", "Check, hand over and show configurations", "Checks, hands over and shows configurations.", &struct{}{})
	addCommands(group, []subcommand{
		{"check", "Check a configuration file", "Lists all faults of a configuration file, or prints its content hash.", &checkCommand{streams: s}},
		{"apply", "Hand over a configuration", "Hands over a configuration. It is accepted once it is durable; a race gives a conflict that names the winner.", &applyCommand{streams: s}},
		{"show", "Show the configuration in force", "Prints the configuration in force at a node, with its version and hash.", &showCommand{streams: s}},
		{"diff", "Compare a file with the configuration in force", "Lists what would change if the file were handed over.", &diffCommand{streams: s}},
		{"schema", "Print the JSON Schema of a configuration", "Prints the JSON Schema of a configuration, for programs in any language.", &schemaCommand{streams: s}},
	})
	group, _ = parser.AddCommand("evacuation", "Take a failure domain out of use", "Takes the endpoints of a failure domain out of use and shows which nodes have applied it.", &struct{}{})
	addCommands(group, []subcommand{
		{"request", "Send no more requests to a failure domain", "Hands over the configuration in force with the failure domain evacuated; requests in flight continue.", &evacuateCommand{streams: s}},
		{"withdraw", "End the evacuation of a failure domain", "Hands over the configuration in force without the evacuation; weights stay as they are.", &evacuateCommand{streams: s, withdraw: true}},
		{"show", "Show the evacuated failure domains", "Prints the evacuated failure domains and which entry nodes have applied them.", &showEvacuationsCommand{streams: s}},
	})
	group, _ = parser.AddCommand("claims", "List and settle the claims of protected requests", "Lists and settles the claims of protected requests whose outcome is unknown.", &struct{}{})
	addCommands(group, []subcommand{
		{"list", "List the claims without an end", "Lists the claims that run or whose outcome is unknown.", &claimsCommand{streams: s}},
		{"resolve", "Settle a claim", "Settles a claim of unknown outcome: ran keeps its key from running, not-run frees it.", &resolveCommand{streams: s}},
		{"retire", "Say that an endpoint's agent is gone for good", "Makes the claims that the agent left running count as unknown.", &retireCommand{streams: s}},
	})
	group, _ = parser.AddCommand("quarantine", "List and free the requests that crash endpoints", "Lists and frees the requests that crash endpoints.", &struct{}{})
	addCommands(group, []subcommand{
		{"list", "List what is suspected or quarantined", "Lists the fingerprints that a node holds suspect or quarantined.", &quarantineCommand{streams: s}},
		{"clear", "Free a fingerprint", "Clears a fingerprint of all its crashes, at all nodes.", &clearCommand{streams: s}},
	})
	return parser
}

// commander is a parser or a command that subcommands can be added to.
type commander interface {
	AddCommand(command, short, long string, data any) (*flags.Command, error)
}

func addCommands(parent commander, commands []subcommand) {
	for _, c := range commands {
		if _, err := parent.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			// The commands are fixed, so only an invalid struct tag causes an error.
			panic(err)
		}
	}
}

// signalContext returns a context that is cancelled at SIGTERM or SIGINT.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}

// versionCommand prints the version.
type versionCommand struct {
	streams *streams
}

// Execute implements flags.Commander.
func (c *versionCommand) Execute([]string) error {
	_, err := fmt.Fprintln(c.streams.out, "cyclamenpoint "+Version)
	return errors.Wrap(err, "print the version")
}
