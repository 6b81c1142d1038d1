package rpc

import (
	cyclamenpointv1 "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
	"github.com/cyclamenpoint/cyclamenpoint/mapswitch"
)

func decode(req *cyclamenpointv1.DeliverRequest) (mapswitch.Envelope, error) {
	if req.From >= mapswitch.MaxRanks || req.To >= mapswitch.MaxRanks {
		return mapswitch.Envelope{}, &MessageError{"rank"}
	}
	msg, err := decodeMessage(req)
	return mapswitch.Envelope{From: mapswitch.Rank(req.From), To: mapswitch.Rank(req.To), Msg: msg}, err
}

func decodeMessage(req *cyclamenpointv1.DeliverRequest) (mapswitch.Message, error) {
	switch m := req.Message.(type) {
	case *cyclamenpointv1.DeliverRequest_Inquire:
		load := mapswitch.Map{Ref: decodeRef(m.Inquire.GetLoad()), Data: string(m.Inquire.GetData())}
		return mapswitch.Inquire{Token: m.Inquire.GetToken(), Epoch: m.Inquire.GetEpoch(), Load: load}, nil
	case *cyclamenpointv1.DeliverRequest_Report:
		return decodeReport(m.Report), nil
	case *cyclamenpointv1.DeliverRequest_Propose:
		p, err := decodeProposal(m.Propose.GetProposal())
		return mapswitch.Propose{Proposal: p, Incarnation: m.Propose.GetIncarnation()}, err
	case *cyclamenpointv1.DeliverRequest_Ask:
		p, err := decodeProposal(m.Ask.GetProposal())
		return mapswitch.Ask{Proposal: p}, err
	case *cyclamenpointv1.DeliverRequest_Vote:
		return mapswitch.Vote{ID: decodeID(m.Vote.GetId()), Yes: m.Vote.GetYes(), Reason: mapswitch.Reason(m.Vote.GetReason())}, nil
	case *cyclamenpointv1.DeliverRequest_Decide:
		p, err := decodeProposal(m.Decide.GetProposal())
		return mapswitch.Decide{Proposal: p, Commit: m.Decide.GetCommit(), Reason: mapswitch.Reason(m.Decide.GetReason())}, err
	case *cyclamenpointv1.DeliverRequest_Applied:
		return mapswitch.Applied{ID: decodeID(m.Applied.GetId())}, nil
	case *cyclamenpointv1.DeliverRequest_Form:
		rec, err := DecodeRecord(m.Form.GetRecord())
		return mapswitch.Form{Token: m.Form.GetToken(), Record: rec, Data: string(m.Form.GetData())}, err
	case *cyclamenpointv1.DeliverRequest_Formed:
		return mapswitch.Formed{Token: m.Formed.GetToken(), Epoch: m.Formed.GetEpoch()}, nil
	}
	return nil, &MessageError{"message"}
}

func decodeReport(m *cyclamenpointv1.SwitchReport) mapswitch.Report {
	return mapswitch.Report{
		Token:            m.GetToken(),
		Incarnation:      m.GetIncarnation(),
		Engine:           m.GetEngine(),
		Epoch:            m.GetEpoch(),
		Step:             m.GetStep(),
		InForce:          decodeRef(m.GetInForce()),
		Ready:            decodeRef(m.GetReady()),
		SwitchInProgress: m.GetBound(),
		Refused:          mapswitch.Reason(m.GetRefused()),
	}
}

func decodeRef(m *cyclamenpointv1.MapRef) mapswitch.Ref {
	return mapswitch.Ref{Version: m.GetVersion(), Hash: m.GetHash()}
}

func decodeID(m *cyclamenpointv1.ProposalId) mapswitch.ID {
	return mapswitch.ID{Token: m.GetToken(), Seq: m.GetSeq()}
}

func decodeRanks(ranks []uint32) (mapswitch.RankSet, error) {
	var set mapswitch.RankSet
	for i, r := range ranks {
		if r >= mapswitch.MaxRanks || i > 0 && ranks[i-1] >= r {
			return set, &MessageError{"members"}
		}
		set = set.With(mapswitch.Rank(r))
	}
	return set, nil
}

// decodeProposal rejects the zero ID, which stands for no proposal.
func decodeProposal(m *cyclamenpointv1.SwitchProposal) (mapswitch.Proposal, error) {
	members, err := decodeRanks(m.GetMembers())
	if err != nil {
		return mapswitch.Proposal{}, err
	}
	p := mapswitch.Proposal{
		ID:      decodeID(m.GetId()),
		Epoch:   m.GetEpoch(),
		Members: members,
		Map:     decodeRef(m.GetMap()),
		Step:    m.GetStep(),
	}
	if p.ID == (mapswitch.ID{}) {
		return p, &MessageError{"proposal id"}
	}
	return p, nil
}

// DecodeRecord decodes a record of the table service. The members must be in
// ascending order, with one engine for each.
func DecodeRecord(m *cyclamenpointv1.GroupRecord) (mapswitch.Record, error) {
	members, err := decodeRanks(m.GetMembers())
	if err != nil {
		return mapswitch.Record{}, err
	}
	if len(m.GetEngines()) != members.Len() {
		return mapswitch.Record{}, &MessageError{"engines"}
	}
	return mapswitch.Record{
		Epoch:   m.GetEpoch(),
		Members: members,
		Engines: mapswitch.PackEngines(m.GetEngines()),
		Map:     decodeRef(m.GetMap()),
		Token:   m.GetToken(),
	}, nil
}
