package main

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"

	"connectrpc.com/connect"

	pb "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
	"github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1/cyclamenpointv1connect"
	"github.com/cyclamenpoint/cyclamenpoint/quota"
)

const (
	// minDemand is the demand, in requests per second, below which a limiter drops
	// an organisation. It equals the constant of package quota.
	minDemand = 1e-4
	// zipfExponent is the exponent of the Zipf distribution of demand over the
	// organisations.
	zipfExponent = 1.1
	// demandSamples is the number of random samples over which the numbers of owners
	// and organisations are averaged.
	demandSamples = 20
)

// measureDemand measures the cost of a demand report by the number of
// organisations in it. From this it computes the cost of all reports of one
// entry node by the number of entry nodes.
func measureDemand(ctx context.Context, _ *options) ([]*series, error) {
	server, err := newCountedServer()
	if err != nil {
		return nil, err
	}
	defer server.close()
	client := cyclamenpointv1connect.NewPeerServiceClient(&http.Client{Transport: server.security.Transport()}, server.security.BaseURL(server.address))
	callBytes := &series{name: "demand-call", x: "organisations in a report", y: "bytes of a report and its answer", designSize: organisations}
	callMicros := &series{name: "demand-call-cpu", x: "organisations in a report", y: "microseconds of processor time at both ends", designSize: organisations}
	for _, size := range []int{1, 2, 8, 32, 128, organisations} {
		cost, err := server.measureCall(func() error {
			_, err := client.ReportDemand(ctx, connect.NewRequest(demandReport(size)))
			return err
		})
		if err != nil {
			return nil, err
		}
		callBytes.add(float64(size), cost.bytes)
		callMicros.add(float64(size), cost.micros)
	}
	return append(demandCosts(callBytes.fitLine(), callMicros.fitLine()), callBytes, callMicros), nil
}

// demandReport returns a report with the demand of size organisations.
func demandReport(size int) *pb.ReportDemandRequest {
	demands := make([]*pb.Demand, size)
	for i := range demands {
		demands[i] = &pb.Demand{Organisation: "organisation-" + strconv.Itoa(i), Requests: 0.1 * float64(i), Tokens: 31.7, Concurrent: 2}
	}
	return &pb.ReportDemandRequest{Entry: "entry-17", Incarnation: 1 << 60, Number: 1234, Demands: demands}
}

// demandCosts computes the reports, bytes and processor time of one entry node
// from the fitted bytes and microseconds of one report. In each period the node
// sends one report to each owner of organisations that it reports. On average
// it receives as many.
func demandCosts(bytes, micros line) []*series {
	calls := &series{name: "demand-calls", x: "entry nodes", y: "reports a second sent by an entry node", designSize: entryNodes}
	traffic := &series{name: "demand-bytes", x: "entry nodes", y: "bytes a second, sent and received reports", designSize: entryNodes, limit: limitBytesPerSecond}
	cores := &series{name: "demand-cpu", x: "entry nodes", y: "percent of a core, sent and received reports", designSize: entryNodes, limit: limitCorePercent}
	rng := rand.New(rand.NewPCG(1, 1))
	for _, size := range []int{2, 10, 50, 150, entryNodes} {
		owners, reported := demandOwners(rng, size)
		rate := owners / quota.ReportPeriod.Seconds()
		calls.add(float64(size), rate)
		traffic.add(float64(size), 2*rate*bytes.costAt(reported/owners))
		cores.add(float64(size), rate*micros.costAt(reported/owners)/1e4)
	}
	return []*series{calls, traffic, cores}
}

// demandOwners returns the mean number of owners that an entry node reports to
// and the mean number of organisations that it reports, if size entry nodes
// together serve requestRate. Both are at least 1.
func demandOwners(rng *rand.Rand, size int) (owners, reported float64) {
	names := make([]string, size)
	for i := range names {
		names[i] = "entry-" + strconv.Itoa(i)
	}
	owner := make([]string, organisations)
	for i := range owner {
		owner[i] = quota.Owner("organisation-"+strconv.Itoa(i), names)
	}
	for range demandSamples {
		notified := make(map[string]bool)
		for i, probability := range activeProbabilities(requestRate / float64(size)) {
			if rng.Float64() < probability {
				reported++
				notified[owner[i]] = true
			}
		}
		owners += float64(len(notified))
	}
	return max(owners/demandSamples, 1), max(reported/demandSamples, 1)
}

// activeProbabilities returns, for each organisation, the probability that an entry
// node that serves rate requests per second has demand to report for it.
func activeProbabilities(rate float64) []float64 {
	weights, sum := make([]float64, organisations), 0.0
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -zipfExponent)
		sum += weights[i]
	}
	window := quota.DefaultWindow.Seconds()
	// One request contributes a demand of 1/window, which decays exponentially and
	// falls below idleDemand after retention seconds.
	retention := window * math.Log(1/(window*minDemand))
	for i, w := range weights {
		weights[i] = 1 - math.Exp(-rate*w/sum*retention)
	}
	return weights
}
