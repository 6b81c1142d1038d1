// Package launch assembles the two processes of a deployment on the users'
// platform: the gateway on the entry VMs and the agent beside each endpoint.
package launch

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/eventlog"
	"github.com/cyclamenpoint/cyclamenpoint/gateway"
	"github.com/cyclamenpoint/cyclamenpoint/metric"
	"github.com/cyclamenpoint/cyclamenpoint/platform"
	"github.com/cyclamenpoint/cyclamenpoint/rankgroup"
	"github.com/cyclamenpoint/cyclamenpoint/retry"
)

// collectAt is the growth of the heap, in percent, at which garbage is
// collected. The processes hold little and share small VMs.
const collectAt = 40

// storeKeepAlive finds connections to the store that have gone silent.
var storeKeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

const (
	// storeConnect bounds a new connection to the store.
	storeConnect = time.Second
	// storeIdle is how long a connection to the store is kept without a call.
	storeIdle = 30 * time.Second
)

// storeTransport carries the calls to the store.
func storeTransport() http.RoundTripper {
	dialer := net.Dialer{Timeout: storeConnect, KeepAliveConfig: storeKeepAlive}
	return &http.Transport{DialContext: dialer.DialContext, IdleConnTimeout: storeIdle, DisableCompression: true, ReadBufferSize: 2 << 10, WriteBufferSize: 2 << 10}
}

// start reads the settings and opens the log.
func start(out io.Writer, what string) (*platform.Settings, *slog.Logger, func(), error) {
	debug.SetGCPercent(collectAt)
	s, err := platform.LoadSettings()
	if err != nil {
		return nil, nil, nil, err
	}
	log, closeLog := eventlog.New(out, slog.LevelInfo)
	log = log.With("node", s.Node)
	serveFigures(s.Address.String(), log)
	log.Info("starting", "process", what, "pid", os.Getpid(), "failure_domain", s.FailureDomain, "address", s.Address.String(), "store", s.Store)
	return s, log, closeLog, nil
}

// serveFigures serves the process's counters and histograms. Without them the
// process works on.
func serveFigures(ip string, log *slog.Logger) {
	listener, err := net.Listen("tcp", metric.Address(ip))
	if err != nil {
		log.Warn("figures are not served", "error", err.Error())
		return
	}
	server := &http.Server{Handler: metric.Handler(), ReadHeaderTimeout: figuresTimeout}
	go func() {
		err := server.Serve(listener)
		log.Warn("figures are no longer served", "error", err.Error())
	}()
}

// figuresTimeout bounds the arrival of a question for the figures.
const figuresTimeout = 2 * time.Second

// peersAddress is where the system's processes reach one another on a VM.
func peersAddress(s *platform.Settings, offset int) string {
	return net.JoinHostPort(s.Address.String(), strconv.Itoa(s.FirstPort+offset))
}

// The ports of the two processes within the open range; a VM may run both.
const (
	gatewayPort = 0
	agentPort   = 1
)

// seeds returns where gateways on the VMs that the platform names are reached.
func seeds(s *platform.Settings) []string {
	list := make([]string, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		// The settings were checked.
		addr := netip.MustParseAddrPort(seed).Addr()
		list = append(list, net.JoinHostPort(addr.String(), strconv.Itoa(s.FirstPort+gatewayPort)))
	}
	return list
}

// RunGateway runs a gateway until SIGTERM. Errors are those of the settings and
// of the addresses.
func RunGateway(out io.Writer) error {
	s, log, closeLog, err := start(out, "gateway")
	if err != nil {
		return err
	}
	defer closeLog()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	store := platform.NewStore(s.Store, storeTransport())
	g, err := gateway.Start(gatewaySettings(s), platform.Protocol{}, store, log)
	if err != nil {
		log.Error("cannot start", "error", err.Error())
		return err
	}
	waitForEnd(signals, log)
	g.Stop()
	return nil
}

func gatewaySettings(s *platform.Settings) gateway.Settings {
	return gateway.Settings{
		Node: s.Node, FailureDomain: s.FailureDomain, CallerAddress: s.Callers, ReadinessAddress: s.Readiness,
		PeerAddress: peersAddress(s, gatewayPort), Seeds: seeds(s),
		Tables:       gateway.Tables{Config: platform.TableConfig, Endpoints: platform.TableEndpoints, Nodes: platform.TableNodes},
		FirstStart:   s.First,
		RelistPeriod: s.Bounds.Return, GracePeriod: s.Bounds.Grace,
		Budget: retry.WindowConfig{Ratio: s.Bounds.RetryRatio, Reserve: s.Bounds.RetryReserve, Period: s.Bounds.RetryWindow},
	}
}

// waitForEnd returns at the signal to stop. At SIGHUP the settings are checked;
// what they name cannot change while the process runs.
func waitForEnd(signals <-chan os.Signal, log *slog.Logger) {
	for sig := range signals {
		if sig != syscall.SIGHUP {
			log.Info("signal to stop", "signal", sig.String())
			return
		}
		if _, err := platform.LoadSettings(); err != nil {
			log.Error("settings cannot be used, the former ones stay", "error", err.Error())
			continue
		}
		log.Info("settings read again")
	}
}

// RunAgent runs the agent beside an endpoint until SIGTERM.
func RunAgent(out io.Writer) error {
	s, log, closeLog, err := start(out, "agent")
	if err != nil {
		return err
	}
	defer closeLog()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	ctx, cancel := context.WithCancel(context.Background())
	transport := engineTransport()
	direct := func(address string) rankgroup.Engine { return platform.NewEngine(address, transport) }
	agent := rankgroup.NewAgent(rankgroup.Settings{
		Node: s.Node, FailureDomain: s.FailureDomain, PeerAddress: peersAddress(s, agentPort), Seeds: seeds(s), Endpoint: s.Endpoint,
		ConfigTable: platform.TableConfig, NodesTable: platform.TableNodes, Service: s.Service,
	}, platform.NewEngine(s.Endpoint, transport), direct, platform.NewStore(s.Store, storeTransport()), platform.Protocol{}.DecodeConfig, log)
	done := make(chan struct{})
	go func() {
		defer close(done)
		agent.Run(ctx)
	}()
	waitForEnd(signals, log)
	cancel()
	<-done
	log.Info("stopped")
	return nil
}

// engineTransport carries the calls to the engine on the same VM.
func engineTransport() http.RoundTripper {
	return &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true, ReadBufferSize: 2 << 10, WriteBufferSize: 2 << 10}
}
