package daemon

import (
	"context"
	"encoding/json"

	"go.uber.org/zap"

	peerv1 "github.com/bilberryrock/bilberryrock/api/peer/v1"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/report"
)

// Find implements operator.Finder. If this instance does not have the record, it asks
// the instances that the request ID may come from.
func (r *requests) Find(ctx context.Context, id string) (report.Record, bool) {
	d := r.daemon
	if record, found := d.state.trail.Find(id); found {
		return record, true
	}
	for _, m := range d.members() {
		if m.ID == d.settings.Instance.ID || !fleet.RequestID(id).MayBeFrom(m.ID) {
			continue
		}
		if record, found := d.findRemote(ctx, m.Peers, id); found {
			return record, true
		}
	}
	return report.Record{}, false
}

// findRemote asks the instance at an address for a decision record.
func (d *Daemon) findRemote(ctx context.Context, address, id string) (report.Record, bool) {
	var record report.Record
	conn, err := d.peers.Get(address)
	if err != nil {
		return record, false
	}
	reply, err := peerv1.NewPeerClient(conn).Explain(ctx, &peerv1.ExplainRequest{Id: id})
	if err != nil {
		d.log.Info("An instance did not answer a request for a decision record.", zap.String("address", address), zap.Error(err))
		return record, false
	}
	if !reply.GetFound() {
		return record, false
	}
	if err := json.Unmarshal(reply.GetRecord(), &record); err != nil {
		d.log.Error("A decision record of another instance could not be decoded.", zap.String("address", address), zap.Error(err))
		return record, false
	}
	return record, true
}
