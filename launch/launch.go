// Package launch assembles and runs the two processes of a deployment on the
// users' platform: the gateway on the entry VMs and the agent beside each endpoint.
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

	"k8s.io/klog/v2"

	"github.com/cyclamenpoint/cyclamenpoint/asynclog"
	"github.com/cyclamenpoint/cyclamenpoint/connlimit"
	"github.com/cyclamenpoint/cyclamenpoint/gateway"
	"github.com/cyclamenpoint/cyclamenpoint/gossip"
	"github.com/cyclamenpoint/cyclamenpoint/membudget"
	"github.com/cyclamenpoint/cyclamenpoint/metric"
	"github.com/cyclamenpoint/cyclamenpoint/platform"
	"github.com/cyclamenpoint/cyclamenpoint/rankgroup"
	"github.com/cyclamenpoint/cyclamenpoint/resource"
	"github.com/cyclamenpoint/cyclamenpoint/retry"
)

// gcPercent is the heap growth, in percent, that triggers a garbage collection. It
// is low because the processes have small heaps and run on small, shared VMs.
const gcPercent = 40

// storeKeepAlive detects connections to the store that no longer respond.
var storeKeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

const (
	// storeConnectTimeout limits the time to open a connection to the store.
	storeConnectTimeout = time.Second
	// storeIdleTimeout is how long an idle connection to the store is kept open.
	storeIdleTimeout = 30 * time.Second
)

// storeTransport returns the transport for calls to the store.
func storeTransport() http.RoundTripper {
	dialer := net.Dialer{Timeout: storeConnectTimeout, KeepAliveConfig: storeKeepAlive}
	return &http.Transport{DialContext: dialer.DialContext, IdleConnTimeout: storeIdleTimeout, DisableCompression: true, ReadBufferSize: 2 << 10, WriteBufferSize: 2 << 10, MaxResponseHeaderBytes: maxHeadBytes}
}

// maxHeadBytes bounds the head of a response of the store or an engine, which may send
// bytes without end.
const maxHeadBytes = 16 << 10

// initProcess sets the limits of the garbage collector, loads the settings, opens the log
// and starts to serve the metrics. The returned function closes the log.
func initProcess(out io.Writer, process string) (*processEnv, func(), error) {
	debug.SetGCPercent(gcPercent)
	s, err := platform.LoadSettings()
	if err != nil {
		return nil, nil, err
	}
	env := &processEnv{settings: s, plan: resource.NewPlan(s.Limits.MemoryBytes, s.Limits.MaxDescriptors, connlimit.ConnectionBytes)}
	env.memory = membudget.New(membudget.DefaultConfig(env.plan.RequestBytes))
	if s.Limits.MemoryBytes > 0 {
		debug.SetMemoryLimit(env.plan.SoftLimitBytes)
	}
	log, closeLog := asynclog.New(out, slog.LevelInfo)
	log = log.With("node", s.Node)
	klog.SetSlogLogger(log)
	env.log = log
	env.serveMetrics()
	log.Info("starting", "process", process, "pid", os.Getpid(), "failure_domain", s.FailureDomain, "address", s.Address.String(), "store", s.StoreAddress,
		"memory_bytes", s.Limits.MemoryBytes, "caller_memory_bytes", env.plan.RequestBytes, "caller_connections", env.plan.Callers)
	return env, closeLog, nil
}

// processEnv is what the two kinds of process have in common.
type processEnv struct {
	settings *platform.Settings
	log      *slog.Logger
	// plan holds the limits of connections, memory the budget for what clients of all
	// listeners send.
	plan   resource.Plan
	memory *membudget.Budget
}

// serveMetrics serves the metrics of the process at an IP address of the VM. A
// failure is only logged, because the process can work without them.
func (e *processEnv) serveMetrics() {
	listener, err := net.Listen("tcp", metric.Address(e.settings.Address.String()))
	if err != nil {
		e.log.Warn("cannot serve metrics", "error", err.Error())
		return
	}
	server := &http.Server{
		Handler: connlimit.WithoutBodies(metric.Handler()), ReadHeaderTimeout: metricsHeaderTimeout, ReadTimeout: metricsHeaderTimeout, WriteTimeout: metricsWriteTimeout,
		IdleTimeout: metricsIdleTimeout, MaxHeaderBytes: maxMetricsHeadBytes,
	}
	listener = connlimit.Limiter("metrics", e.plan.Probes, maxMetricsHeadBytes, e.memory, e.log.Warn)(listener, server)
	go func() {
		err := server.Serve(listener)
		e.log.Warn("metrics server stopped", "error", err.Error())
	}()
}

const (
	// metricsHeaderTimeout limits the time to read a metrics request, metricsWriteTimeout
	// that to write the answer.
	metricsHeaderTimeout = 2 * time.Second
	metricsWriteTimeout  = 10 * time.Second
	// metricsIdleTimeout exceeds the usual time between two readings of the metrics.
	metricsIdleTimeout = 90 * time.Second
	// maxMetricsHeadBytes limits the head of a metrics request.
	maxMetricsHeadBytes = 8 << 10
)

// peerAddress returns the address at which other processes of the system reach the
// process with the given port offset.
func peerAddress(s *platform.Settings, offset int) string {
	return net.JoinHostPort(s.Address.String(), strconv.Itoa(s.FirstPort+offset))
}

// Offsets of the two processes' ports in the port range. They differ because a VM
// may run both processes.
const (
	gatewayPortOffset = 0
	agentPortOffset   = 1
)

// seeds returns the peer addresses of the gateways on the VMs of the settings' seeds.
func seeds(s *platform.Settings) []string {
	list := make([]string, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		// ParseSettings has checked the address, so this does not panic.
		addr := netip.MustParseAddrPort(seed).Addr()
		list = append(list, net.JoinHostPort(addr.String(), strconv.Itoa(s.FirstPort+gatewayPortOffset)))
	}
	return list
}

// RunGateway runs a gateway until SIGTERM or SIGINT. It returns an error if the
// settings are invalid or the gateway cannot listen at its addresses.
func RunGateway(out io.Writer) error {
	env, closeLog, err := initProcess(out, "gateway")
	if err != nil {
		return err
	}
	defer closeLog()
	s, log := env.settings, env.log
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	store := newStore(s, log)
	g, err := gateway.Start(env.gatewaySettings(), platform.Protocol{}, store, log)
	if err != nil {
		log.Error("cannot start the gateway", "error", err.Error())
		return err
	}
	waitForStop(signals, log)
	g.Stop()
	return nil
}

// newStore returns the process's client of the platform's store. It reports restores of the
// store.
func newStore(s *platform.Settings, log *slog.Logger) *platform.Store {
	store := platform.NewStore(s.StoreAddress, storeTransport())
	store.Eras().OnRestore(func(era uint64) {
		metric.StoreRestores.Inc()
		log.Warn("the store has been restored from an earlier copy", "era", era)
	})
	return store
}

func (e *processEnv) gatewaySettings() gateway.Settings {
	s := e.settings
	return gateway.Settings{
		Node: s.Node, FailureDomain: s.FailureDomain, CallerAddress: s.CallerAddress, ReadinessAddress: s.ReadinessAddress,
		PeerAddress: peerAddress(s, gatewayPortOffset), Seeds: seeds(s),
		Tables:       gateway.Tables{Config: platform.TableConfig, Endpoints: platform.TableEndpoints, Nodes: platform.TableNodes, Crashes: platform.TableCrashes},
		FirstStart:   s.FirstStart,
		RelistPeriod: s.Bounds.RelistPeriod, GracePeriod: s.Bounds.GracePeriod,
		Budget: retry.WindowConfig{Ratio: s.Bounds.RetryRatio, Reserve: s.Bounds.RetryReserve, Period: s.Bounds.RetryWindow},
		Cold:   gateway.ColdSettings{Overage: s.Bounds.ColdOverage, Slack: s.Bounds.ColdSlack},
		Plan:   e.plan, Memory: e.memory,
	}
}

// waitForStop returns at the first signal other than SIGHUP. At SIGHUP it only
// checks the settings file, because no setting can change while the process runs.
func waitForStop(signals <-chan os.Signal, log *slog.Logger) {
	for sig := range signals {
		if sig != syscall.SIGHUP {
			log.Info("stopping on signal", "signal", sig.String())
			return
		}
		if _, err := platform.LoadSettings(); err != nil {
			log.Error("settings file is invalid, the current settings stay in use", "error", err.Error())
			continue
		}
		log.Info("settings file is valid, changes take effect at the next start")
	}
}

// RunAgent runs the agent beside an endpoint until SIGTERM or SIGINT.
func RunAgent(out io.Writer) error {
	env, closeLog, err := initProcess(out, "agent")
	if err != nil {
		return err
	}
	defer closeLog()
	s, log := env.settings, env.log
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	ctx, cancel := context.WithCancel(context.Background())
	transport := engineTransport()
	newEngine := func(address string) rankgroup.Engine { return platform.NewEngine(address, transport) }
	agent := rankgroup.NewAgent(rankgroup.Settings{
		Node: s.Node, FailureDomain: s.FailureDomain, PeerAddress: peerAddress(s, agentPortOffset), Seeds: seeds(s), Endpoint: s.EndpointAddress,
		ConfigTable: platform.TableConfig, NodesTable: platform.TableNodes, Service: s.Service,
		LimitPeers: connlimit.Limiter("peers", env.plan.Peers, gossip.MaxHeadBytes, env.memory, log.Warn),
	}, platform.NewEngine(s.EndpointAddress, transport), newEngine, newStore(s, log), platform.Protocol{}.DecodeConfig, log)
	go env.memory.Run(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		agent.Run(ctx)
	}()
	waitForStop(signals, log)
	cancel()
	<-done
	log.Info("stopped")
	return nil
}

// engineTransport returns the transport for calls to the engine on the same VM, and
// to engines on other VMs whose agents do not answer.
func engineTransport() http.RoundTripper {
	return &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true, ReadBufferSize: 2 << 10, WriteBufferSize: 2 << 10, MaxResponseHeaderBytes: maxHeadBytes}
}
