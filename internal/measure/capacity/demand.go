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
	// idleDemand is the demand in requests a second under which a limiter
	// forgets an organisation.
	idleDemand = 1e-4
	// demandSkew is the exponent of the Zipf law of the organisations' demand.
	demandSkew = 1.1
	demandRuns = 20
)

// measureDemand measures the bytes of a report by the organisations in it, and
// counts the reports and the organisations of an entry node by the number of
// entry nodes.
func measureDemand(ctx context.Context, _ *options) ([]*series, error) {
	w, err := newWire()
	if err != nil {
		return nil, err
	}
	defer w.close()
	client := cyclamenpointv1connect.NewPeerServiceClient(&http.Client{Transport: w.security.Transport()}, w.security.BaseURL(w.address))
	perCall := &series{name: "demand-call", x: "organisations in a report", y: "bytes of a report and its answer", at: organisations}
	perCore := &series{name: "demand-call-cpu", x: "organisations in a report", y: "microseconds of processor time at both ends", at: organisations}
	for _, size := range []int{1, 2, 8, 32, 128, organisations} {
		cost, err := w.measureCall(func() error {
			_, err := client.ReportDemand(ctx, connect.NewRequest(demandReport(size)))
			return err
		})
		if err != nil {
			return nil, err
		}
		perCall.add(float64(size), cost.bytes)
		perCore.add(float64(size), cost.micros)
	}
	return append(reports(perCall.line(), perCore.line()), perCall, perCore), nil
}

func demandReport(size int) *pb.ReportDemandRequest {
	demands := make([]*pb.Demand, size)
	for i := range demands {
		demands[i] = &pb.Demand{Organisation: "organisation-" + strconv.Itoa(i), Requests: 0.1 * float64(i), Tokens: 31.7, Concurrent: 2}
	}
	return &pb.ReportDemandRequest{Entry: "entry-17", Incarnation: 1 << 60, Number: 1234, Demands: demands}
}

// reports counts the calls of one entry node and works out its bytes. The node
// sends each owner one report in a period and gets as many on average.
func reports(bytes, micros line) []*series {
	calls := &series{name: "demand-calls", x: "entry nodes", y: "reports a second sent by an entry node", at: entries}
	all := &series{name: "demand-bytes", x: "entry nodes", y: "bytes a second, sent and received reports", at: entries, limit: limitBytes}
	cores := &series{name: "demand-cpu", x: "entry nodes", y: "percent of a core, sent and received reports", at: entries, limit: limitCorePercent}
	rng := rand.New(rand.NewPCG(1, 1))
	for _, size := range []int{2, 10, 50, 150, entries} {
		owners, known := demandOwners(rng, size)
		rate := owners / quota.ReportPeriod.Seconds()
		calls.add(float64(size), rate)
		all.add(float64(size), 2*rate*bytes.at(known/owners))
		cores.add(float64(size), rate*micros.at(known/owners)/1e4)
	}
	return []*series{calls, all, cores}
}

// demandOwners returns the mean numbers of owners that an entry node reports to
// and of organisations that it reports, when all entry nodes together serve
// requestRate.
func demandOwners(rng *rand.Rand, size int) (owners, known float64) {
	names := make([]string, size)
	for i := range names {
		names[i] = "entry-" + strconv.Itoa(i)
	}
	owner := make([]string, organisations)
	for i := range owner {
		owner[i] = quota.Owner("organisation-"+strconv.Itoa(i), names)
	}
	for range demandRuns {
		reached := make(map[string]bool)
		for i, chance := range remembered(requestRate / float64(size)) {
			if rng.Float64() < chance {
				known++
				reached[owner[i]] = true
			}
		}
		owners += float64(len(reached))
	}
	return max(owners/demandRuns, 1), max(known/demandRuns, 1)
}

// remembered returns, for each organisation, the chance that a node which
// serves rate requests a second remembers it.
func remembered(rate float64) []float64 {
	weights, sum := make([]float64, organisations), 0.0
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -demandSkew)
		sum += weights[i]
	}
	window := quota.DefaultWindow.Seconds()
	// One request counts 1/window and falls below idleDemand after this time.
	memory := window * math.Log(1/(window*idleDemand))
	for i, w := range weights {
		weights[i] = 1 - math.Exp(-rate*w/sum*memory)
	}
	return weights
}
