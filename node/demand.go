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

// demandReporter tells the owner of each organisation the demand at this entry
// node, and the limiter the demand at the others.
type demandReporter struct {
	core    *core
	limiter *quota.Limiter
	number  uint64
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

// report sends each owner one report with the organisations that it sums up.
func (d *demandReporter) report(ctx context.Context) {
	d.number++
	entries := d.entries()
	names := make([]string, 0, len(entries))
	for name := range entries {
		names = append(names, name)
	}
	byOwner := make(map[string][]*pb.Demand)
	for organisation, usage := range d.limiter.Demand() {
		if !d.limited(organisation) {
			continue
		}
		owner := quota.Owner(organisation, names)
		byOwner[owner] = append(byOwner[owner], demandOf(organisation, usage))
	}
	for owner, demands := range byOwner {
		d.send(ctx, entries[owner], demands)
	}
}

// limited tells whether an organisation has limits: nobody needs to know the
// demand of the others.
func (d *demandReporter) limited(organisation string) bool {
	snap := d.core.holder.Current()
	if snap == nil {
		return false
	}
	org := snap.Deployment.Organisation(organisation)
	return org != nil && org.Limits != (deployment.Limits{})
}

// entries returns the addresses of the living entry nodes by name.
func (d *demandReporter) entries() map[string]string {
	entries := make(map[string]string)
	for _, m := range d.core.members.Members() {
		if m.Kind == membership.KindEntry && m.Health != membership.Dead {
			entries[m.Name] = m.Address
		}
	}
	return entries
}

// send reports to one owner. Without an answer the limiter keeps what it was
// told before.
func (d *demandReporter) send(ctx context.Context, address string, demands []*pb.Demand) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	client := cyclamenpointv1connect.NewPeerServiceClient(d.core.client, d.core.security.BaseURL(address))
	self := d.core.members.Self()
	resp, err := client.ReportDemand(ctx, connect.NewRequest(&pb.ReportDemandRequest{
		Entry: self.Name, Incarnation: self.Incarnation, Number: d.number, Demands: demands,
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
