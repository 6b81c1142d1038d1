// Package metric holds the counters and histograms of the processes on the
// users' platform, and serves them as text. The names are listed in
// docs/OPERATIONS.md.
package metric

import (
	"net/http"
	"strconv"

	"github.com/VictoriaMetrics/metrics"
)

// Path is where the figures are served.
const Path = "/metrics"

// prefix begins all names.
const prefix = "cyclamenpoint_"

// Requests counts the requests of callers by the kind of their route and by
// outcome: "served", or the name of the problem.
func Requests(kind, outcome string) *metrics.Counter {
	return metrics.GetOrCreateCounter(prefix + `requests_total{kind="` + kind + `",outcome="` + outcome + `"}`)
}

// Attempts counts the sends to endpoints of a service by verdict.
func Attempts(service, verdict string) *metrics.Counter {
	return metrics.GetOrCreateCounter(prefix + `attempts_total{service="` + service + `",verdict="` + verdict + `"}`)
}

// Refusals counts the requests that no endpoint was asked for, by cause.
func Refusals(service, cause string) *metrics.Counter {
	return metrics.GetOrCreateCounter(prefix + `refusals_total{service="` + service + `",cause="` + cause + `"}`)
}

// StoreCalls counts the calls to the platform's store.
func StoreCalls(call string) *metrics.Counter {
	return metrics.GetOrCreateCounter(prefix + `store_calls_total{call="` + call + `"}`)
}

// Duration is the time from a request's head to the end of its answer.
func Duration(kind string) *metrics.Histogram {
	return metrics.GetOrCreateHistogram(prefix + `request_seconds{kind="` + kind + `"}`)
}

// The histograms and counters without labels.
var (
	// FirstEvent is the time from a request's head to a stream's first event.
	FirstEvent = metrics.NewHistogram(prefix + "first_event_seconds")
	// LongestGap is the longest pause between two events of a stream.
	LongestGap = metrics.NewHistogram(prefix + "longest_gap_seconds")
	// EndpointLoad is the estimate of an endpoint's load when it was chosen.
	EndpointLoad = metrics.NewHistogram(prefix + "endpoint_load")
	// StreamsResumed counts the streams that went on at another endpoint.
	StreamsResumed = metrics.NewCounter(prefix + "streams_resumed_total")
	// StoreLost and StoreBack count how often the store stopped and began to
	// answer, over all followed tables.
	StoreLost = metrics.NewCounter(prefix + "store_lost_total")
	StoreBack = metrics.NewCounter(prefix + "store_back_total")
	// CopiesFromPeers counts the copies of tables that came from a peer.
	CopiesFromPeers = metrics.NewCounter(prefix + "copies_from_peers_total")
	// MapsChanged and MapsFailed count a leader's changes of expert maps, HoldsEnded
	// those left holds that were ended here.
	MapsChanged = metrics.NewCounter(prefix + "maps_changed_total")
	MapsFailed  = metrics.NewCounter(prefix + "maps_failed_total")
	HoldsEnded  = metrics.NewCounter(prefix + "holds_ended_total")
	// MapChangeTime is the time from a decision to the release of the gate, GateClosedTime
	// that for which the gate was closed.
	MapChangeTime  = metrics.NewHistogram(prefix + "map_change_seconds")
	GateClosedTime = metrics.NewHistogram(prefix + "gate_closed_seconds")
	// MapDecisionTime is the time that a decision for a new map took.
	MapDecisionTime = metrics.NewHistogram(prefix + "map_decision_seconds")
	// Skew is the estimated skew of the map in force at each decision.
	Skew = metrics.NewHistogram(prefix + "skew")
)

// RegisterGauge shows what read returns.
func RegisterGauge(name string, read func() float64) { metrics.GetOrCreateGauge(prefix+name, read) }

// SetConfigVersion shows the version of the configuration in force.
func SetConfigVersion(version uint64) {
	metrics.GetOrCreateGauge(prefix+"config_version", nil).Set(float64(version))
}

// Handler serves all figures as text.
func Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+Path, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		metrics.WritePrometheus(w, true)
	})
	return mux
}

// Port is where the figures are served; the deploy file names it too.
const Port = 9464

// Address returns where the figures of a process at an IP number are served.
func Address(ip string) string { return ip + ":" + strconv.Itoa(Port) }
