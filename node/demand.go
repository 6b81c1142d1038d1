package node

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/cyclamenpoint/cyclamenpoint/deployment"
	pb "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
	"github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1/cyclamenpointv1connect"
	"github.com/cyclamenpoint/cyclamenpoint/membership"
	"github.com/cyclamenpoint/cyclamenpoint/quota"
)

// reportTimeout bounds one report of demand.
const reportTimeout = time.Second

// demandReporter sends the demand of each organisation at this entry node to the
// organisation's owner, which is the entry node that adds up the demand. It passes
// the demand at the other entry nodes, from the owner's answer, to the limiter.
type demandReporter struct {
	core         *core
	limiter      *quota.Limiter
	reportNumber uint64
}

// run reports until ctx ends.
func (d *demandReporter) run(ctx context.Context) {
	ticker := time.NewTicker(quota.ReportPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.report(ctx)
		}
	}
}

// report sends each owner one report about the organisations that it owns.
func (d *demandReporter) report(ctx context.Context) {
	d.reportNumber++
	entries := d.entries()
	names := make([]string, 0, len(entries))
	for name := range entries {
		names = append(names, name)
	}
	byOwner := make(map[string][]*pb.Demand)
	for organisation, usage := range d.limiter.Demand() {
		if !d.hasLimits(organisation) {
			continue
		}
		owner := quota.Owner(organisation, names)
		byOwner[owner] = append(byOwner[owner], demandOf(organisation, usage))
	}
	for owner, demands := range byOwner {
		d.send(ctx, entries[owner], demands)
	}
}

// hasLimits reports whether an organisation has limits. The demand of one
// without limits is not reported.
func (d *demandReporter) hasLimits(organisation string) bool {
	snap := d.core.holder.Current()
	if snap == nil {
		return false
	}
	org := snap.Deployment.Organisation(organisation)
	return org != nil && org.Limits != (deployment.Limits{})
}

// entries returns the addresses of the entry nodes that are not dead, by name.
func (d *demandReporter) entries() map[string]string {
	entries := make(map[string]string)
	for _, m := range d.core.members.Members() {
		if m.Kind == membership.KindEntry && m.Health != membership.Dead {
			entries[m.Name] = m.Address
		}
	}
	return entries
}

// send sends a report to one owner and passes its answer to the limiter.
// Without an answer the limiter continues to use an earlier one.
func (d *demandReporter) send(ctx context.Context, address string, demands []*pb.Demand) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	client := cyclamenpointv1connect.NewPeerServiceClient(d.core.client, d.core.security.BaseURL(address))
	self := d.core.members.Self()
	resp, err := client.ReportDemand(ctx, connect.NewRequest(&pb.ReportDemandRequest{
		Entry: self.Name, Incarnation: self.Incarnation, Number: d.reportNumber, Demands: demands,
	}))
	if err != nil {
		return
	}
	others := make(map[string]quota.Usage, len(resp.Msg.GetOthers()))
	for _, o := range resp.Msg.GetOthers() {
		others[o.GetOrganisation()] = quota.Usage{Requests: o.GetRequests(), Tokens: o.GetTokens(), Concurrent: o.GetConcurrent()}
	}
	d.limiter.Observe(others)
}
