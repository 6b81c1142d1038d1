package command

import (
	"context"
	"io"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/cyclamenpoint/cyclamenpoint/launch"
	"github.com/cyclamenpoint/cyclamenpoint/node"
	"github.com/cyclamenpoint/cyclamenpoint/settings"
)

// agentOptions are the options of cyclamenpoint-agent.
type agentOptions struct {
	Settings string `long:"settings" value-name:"FILE" description:"the agent's settings as YAML"`
	Platform bool   `long:"platform" description:"run beside an endpoint on the users' platform, by its settings file"`
}

// RunAgent runs cyclamenpoint-agent with args, which exclude the program name, and
// returns the exit code.
func RunAgent(args []string, out, errOut io.Writer) int {
	var opts agentOptions
	parser := flags.NewNamedParser("cyclamenpoint-agent", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "agent beside an endpoint"
	parser.LongDescription = "cyclamenpoint-agent runs beside an endpoint until SIGTERM, and then waits for the work in flight."
	if _, err := parser.AddGroup("Options", "", &opts); err != nil {
		return report(err, out, errOut)
	}
	_, err := parser.ParseArgs(args)
	switch {
	case err != nil:
	case opts.Platform:
		err = launch.RunAgent(out)
	case opts.Settings == "":
		err = &flags.Error{Type: flags.ErrRequired, Message: "--settings or --platform is required"}
	default:
		err = runAgent(opts.Settings)
	}
	return report(err, out, errOut)
}

func runAgent(file string) error {
	s, err := settings.LoadAgent(file)
	if err != nil {
		return err
	}
	secret, err := s.Secret()
	if err != nil {
		return err
	}
	a, err := node.StartAgent(s, secret, nil)
	if err != nil {
		return err
	}
	return runUntilSignal(a)
}

// shutdownTimeout limits how long a stopping process waits for the responses in
// flight.
const shutdownTimeout = 15 * time.Minute

// stopper is a process that can be stopped gracefully.
type stopper interface {
	Stop(ctx context.Context) error
}

// runUntilSignal waits for SIGTERM or SIGINT and then stops the process gracefully.
func runUntilSignal(s stopper) error {
	ctx, cancel := signalContext()
	defer cancel()
	<-ctx.Done()
	stopping, cancelStop := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancelStop()
	return s.Stop(stopping)
}
