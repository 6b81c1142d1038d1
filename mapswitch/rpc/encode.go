package rpc

import (
	cyclamenpointv1 "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
	"github.com/cyclamenpoint/cyclamenpoint/mapswitch"
)

func encode(group string, env mapswitch.Envelope) (*cyclamenpointv1.DeliverRequest, error) {
	req := &cyclamenpointv1.DeliverRequest{Group: group, From: uint32(env.From), To: uint32(env.To)}
	switch m := env.Msg.(type) {
	case mapswitch.Inquire:
		req.Message = &cyclamenpointv1.DeliverRequest_Inquire{Inquire: &cyclamenpointv1.SwitchInquire{
			Token: m.Token, Epoch: m.Epoch, Load: encodeRef(m.Load.Ref), Data: []byte(m.Load.Data),
		}}
	case mapswitch.Report:
		req.Message = &cyclamenpointv1.DeliverRequest_Report{Report: &cyclamenpointv1.SwitchReport{
			Token: m.Token, Incarnation: m.Incarnation, Engine: m.Engine, Epoch: m.Epoch, Step: m.Step,
			InForce: encodeRef(m.InForce), Ready: encodeRef(m.Ready), Bound: m.SwitchInProgress, Refused: uint32(m.Refused),
		}}
	case mapswitch.Propose:
		req.Message = &cyclamenpointv1.DeliverRequest_Propose{Propose: &cyclamenpointv1.SwitchPropose{
			Proposal: encodeProposal(m.Proposal), Incarnation: m.Incarnation,
		}}
	case mapswitch.Ask:
		req.Message = &cyclamenpointv1.DeliverRequest_Ask{Ask: &cyclamenpointv1.SwitchAsk{Proposal: encodeProposal(m.Proposal)}}
	case mapswitch.Vote:
		req.Message = &cyclamenpointv1.DeliverRequest_Vote{Vote: &cyclamenpointv1.SwitchVote{
			Id: encodeID(m.ID), Yes: m.Yes, Reason: uint32(m.Reason),
		}}
	case mapswitch.Decide:
		req.Message = &cyclamenpointv1.DeliverRequest_Decide{Decide: &cyclamenpointv1.SwitchDecide{
			Proposal: encodeProposal(m.Proposal), Commit: m.Commit, Reason: uint32(m.Reason),
		}}
	case mapswitch.Applied:
		req.Message = &cyclamenpointv1.DeliverRequest_Applied{Applied: &cyclamenpointv1.SwitchApplied{Id: encodeID(m.ID)}}
	case mapswitch.Form:
		req.Message = &cyclamenpointv1.DeliverRequest_Form{Form: &cyclamenpointv1.EpochForm{
			Token: m.Token, Record: EncodeRecord(m.Record), Data: []byte(m.Data),
		}}
	case mapswitch.Formed:
		req.Message = &cyclamenpointv1.DeliverRequest_Formed{Formed: &cyclamenpointv1.EpochFormed{Token: m.Token, Epoch: m.Epoch}}
	default:
		return nil, &MessageError{"message"}
	}
	return req, nil
}

func encodeRef(ref mapswitch.Ref) *cyclamenpointv1.MapRef {
	return &cyclamenpointv1.MapRef{Version: ref.Version, Hash: ref.Hash}
}

func encodeID(id mapswitch.ID) *cyclamenpointv1.ProposalId {
	return &cyclamenpointv1.ProposalId{Token: id.Token, Seq: id.Seq}
}

func encodeRanks(set mapswitch.RankSet) []uint32 {
	ranks := make([]uint32, 0, set.Len())
	for r := range set.All() {
		ranks = append(ranks, uint32(r))
	}
	return ranks
}

func encodeProposal(p mapswitch.Proposal) *cyclamenpointv1.SwitchProposal {
	return &cyclamenpointv1.SwitchProposal{
		Id: encodeID(p.ID), Epoch: p.Epoch, Members: encodeRanks(p.Members), Map: encodeRef(p.Map), Step: p.Step,
	}
}

// EncodeRecord encodes a record for the table service.
func EncodeRecord(rec mapswitch.Record) *cyclamenpointv1.GroupRecord {
	out := &cyclamenpointv1.GroupRecord{
		Epoch: rec.Epoch, Members: encodeRanks(rec.Members), Map: encodeRef(rec.Map), Token: rec.Token,
	}
	for r := range rec.Members.All() {
		engine, _ := rec.Engine(r)
		out.Engines = append(out.Engines, engine)
	}
	return out
}
