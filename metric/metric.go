// Package metric defines the metrics of the processes on the users' platform and
// serves them in the Prometheus text format. docs/OPERATIONS.md lists them.
package metric

import (
	"net/http"
	"strconv"

	"github.com/VictoriaMetrics/metrics"
)

// Path is the HTTP path at which the metrics are served.
const Path = "/metrics"

// prefix is the prefix of all names.
const prefix = "cyclamenpoint_"

// Requests returns the counter of requests by the kind of their route and by
// outcome: "served", or the name of the problem.
func Requests(kind, outcome string) *metrics.Counter {
	return metrics.GetOrCreateCounter(prefix + `requests_total{kind="` + kind + `",outcome="` + outcome + `"}`)
}

// Attempts returns the counter of attempts at endpoints of a service by verdict.
func Attempts(service, verdict string) *metrics.Counter {
	return metrics.GetOrCreateCounter(prefix + `attempts_total{service="` + service + `",verdict="` + verdict + `"}`)
}

// Refusals returns the counter of requests that were refused without an attempt,
// by cause.
func Refusals(service, cause string) *metrics.Counter {
	return metrics.GetOrCreateCounter(prefix + `refusals_total{service="` + service + `",cause="` + cause + `"}`)
}

// ColdLimited returns the counter of choices of an endpoint for which the limit of a cold
// endpoint excluded at least one. Result is "elsewhere" if another endpoint was chosen and
// "none" if no endpoint was left, so that the request waits or is refused.
func ColdLimited(service, result string) *metrics.Counter {
	return metrics.GetOrCreateCounter(prefix + `cold_limited_total{service="` + service + `",result="` + result + `"}`)
}

// CallerRefusals returns the counter of connections and requests that a listener refused or
// closed because of a limit on memory or connections, by cause.
func CallerRefusals(listener, cause string) *metrics.Counter {
	return metrics.GetOrCreateCounter(prefix + `connection_refusals_total{listener="` + listener + `",cause="` + cause + `"}`)
}

// EndpointCrashes returns the counter of crashes of endpoints that this process has noticed
// by a request of its own.
func EndpointCrashes(service string) *metrics.Counter {
	return metrics.GetOrCreateCounter(prefix + `endpoint_crashes_total{service="` + service + `"}`)
}

// StoreCalls returns the counter of calls to the platform's store.
func StoreCalls(call string) *metrics.Counter {
	return metrics.GetOrCreateCounter(prefix + `store_calls_total{call="` + call + `"}`)
}

// Duration returns the histogram of the time from a request's headers to the end
// of its response.
func Duration(kind string) *metrics.Histogram {
	return metrics.GetOrCreateHistogram(prefix + `request_seconds{kind="` + kind + `"}`)
}

// The metrics without labels.
var (
	// AttemptsWithdrawn counts the attempts that were cancelled because their request may
	// crash endpoints.
	AttemptsWithdrawn = metrics.NewCounter(prefix + "attempts_withdrawn_total")
	// FirstEvent is the time from a request's headers to the first event of its
	// stream.
	FirstEvent = metrics.NewHistogram(prefix + "first_event_seconds")
	// LongestGap is the longest time between two events of a stream.
	LongestGap = metrics.NewHistogram(prefix + "longest_gap_seconds")
	// EndpointLoad is the estimated load of an endpoint when it is chosen.
	EndpointLoad = metrics.NewHistogram(prefix + "endpoint_load")
	// StreamsResumed counts the streams that were resumed at another endpoint.
	StreamsResumed = metrics.NewCounter(prefix + "streams_resumed_total")
	// StoreLost and StoreBack count how often the store stopped answering and
	// answered again, summed over all followed tables.
	StoreLost = metrics.NewCounter(prefix + "store_lost_total")
	StoreBack = metrics.NewCounter(prefix + "store_back_total")
	// StoreRestores counts how often the store was found to be restored from an earlier
	// copy of itself.
	StoreRestores = metrics.NewCounter(prefix + "store_restores_total")
	// CopiesFromPeers counts the copies of tables fetched from a peer.
	CopiesFromPeers = metrics.NewCounter(prefix + "copies_from_peers_total")
	// MapsChanged and MapsFailed count a leader's successful and failed changes of
	// the expert map. HoldsEnded counts the abandoned holds of a gate that this
	// process has ended.
	MapsChanged = metrics.NewCounter(prefix + "maps_changed_total")
	MapsFailed  = metrics.NewCounter(prefix + "maps_failed_total")
	HoldsEnded  = metrics.NewCounter(prefix + "holds_ended_total")
	// MapChangeTime is the time from the decision for a new expert map to the
	// release of the gate. GateClosedTime is how long the gate is closed meanwhile.
	MapChangeTime  = metrics.NewHistogram(prefix + "map_change_seconds")
	GateClosedTime = metrics.NewHistogram(prefix + "gate_closed_seconds")
	// MapDecisionTime is the time taken to decide on a new expert map.
	MapDecisionTime = metrics.NewHistogram(prefix + "map_decision_seconds")
	// Skew is the estimated skew of the expert map in force at each decision.
	Skew = metrics.NewHistogram(prefix + "skew")
)

// RegisterGauge registers a gauge whose value is returned by read.
func RegisterGauge(name string, read func() float64) { metrics.GetOrCreateGauge(prefix+name, read) }

// SetConfigVersion sets the gauge for the version of the configuration in force.
func SetConfigVersion(version uint64) {
	metrics.GetOrCreateGauge(prefix+"config_version", nil).Set(float64(version))
}

// Handler returns a handler that serves all metrics at Path.
func Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+Path, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		metrics.WritePrometheus(w, true)
	})
	return mux
}

// Port is the port at which the metrics are served. The deployment file contains
// it too.
const Port = 9464

// Address returns the address at which a process at the given IP address serves
// its metrics.
func Address(ip string) string { return ip + ":" + strconv.Itoa(Port) }
