// Package peer implements the calls between instances: twirp over unencrypted HTTP/2. It converts between wire
// messages and the types of the control and query packages, and counts control traffic.
package peer

import (
	"net/http"

	"hyssopcroft.example/adapter/wire/memberpb"
	"hyssopcroft.example/control/membership"
)

// MembershipClient returns a client of the membership service of the peer at an address.
func MembershipClient(address string, transport http.RoundTripper) memberpb.Membership {
	return memberpb.NewMembershipProtobufClient("http://"+address, &http.Client{Transport: transport})
}

// DistributionClient returns a client of the distribution service of the peer at an address.
func DistributionClient(address string, transport http.RoundTripper) memberpb.Distribution {
	return memberpb.NewDistributionProtobufClient("http://"+address, &http.Client{Transport: transport})
}

// MembershipHandler returns the path prefix and the handler that serve the membership service.
func MembershipHandler(s memberpb.Membership) (string, http.Handler) {
	h := memberpb.NewMembershipServer(s)
	return h.PathPrefix(), countServed(compressResponses(h))
}

// DistributionHandler returns the path prefix and the handler that serve the distribution service.
func DistributionHandler(s memberpb.Distribution) (string, http.Handler) {
	h := memberpb.NewDistributionServer(s)
	return h.PathPrefix(), countServed(compressResponses(h))
}

// MemberToWire converts a member record.
func MemberToWire(m membership.Member) *memberpb.Member {
	return &memberpb.Member{
		Id: m.ID, Address: m.Address, FailureDomain: m.FailureDomain, Incarnation: m.Incarnation,
		State: memberpb.State(m.State), ConfigSequence: m.ConfigSequence, Capacity: m.Capacity,
	}
}

// MemberFromWire converts a member record. A record with an unknown state counts as suspect.
func MemberFromWire(m *memberpb.Member) membership.Member {
	return membership.Member{
		ID: m.GetId(), Address: m.GetAddress(), FailureDomain: m.GetFailureDomain(),
		Incarnation: m.GetIncarnation(), State: stateFromWire(m.GetState()), ConfigSequence: m.GetConfigSequence(), Capacity: m.GetCapacity(),
	}
}

func stateFromWire(s memberpb.State) membership.State {
	state := membership.State(s)
	if state < membership.Starting || state > membership.Dead {
		return membership.Suspect
	}
	return state
}

// MembersToWire converts member records.
func MembersToWire(list []membership.Member) []*memberpb.Member {
	out := make([]*memberpb.Member, 0, len(list))
	for _, m := range list {
		out = append(out, MemberToWire(m))
	}
	return out
}

// MembersFromWire converts member records. Records without an id are skipped.
func MembersFromWire(list []*memberpb.Member) []membership.Member {
	out := make([]membership.Member, 0, len(list))
	for _, m := range list {
		if m.GetId() != "" {
			out = append(out, MemberFromWire(m))
		}
	}
	return out
}

// MessageToWire converts the message of one direction of an exchange. The caller sets the digest and the stamp.
func MessageToWire(m membership.Message) *memberpb.ExchangeMessage {
	out := &memberpb.ExchangeMessage{
		Id: m.ID, Incarnation: m.Incarnation, State: memberpb.State(m.State), Hash: m.Hash, Version: m.Version,
		Have: m.Acked, Unknown: m.ReceiverUnknown, Changed: MembersToWire(m.Changed),
	}
	for _, c := range m.Confirmed {
		out.Confirmed = append(out.Confirmed, &memberpb.Confirmation{Sequence: c.Sequence, Members: c.Members})
	}
	return out
}

// MessageFromWire converts the message of one direction of an exchange.
func MessageFromWire(m *memberpb.ExchangeMessage) membership.Message {
	out := membership.Message{
		ID: m.GetId(), Incarnation: m.GetIncarnation(), State: stateFromWire(m.GetState()), Hash: m.GetHash(),
		Version: m.GetVersion(), Acked: m.GetHave(), ReceiverUnknown: m.GetUnknown(), Changed: MembersFromWire(m.GetChanged()),
	}
	for _, c := range m.GetConfirmed() {
		out.Confirmed = append(out.Confirmed, membership.Confirmation{Sequence: c.GetSequence(), Members: c.GetMembers()})
	}
	return out
}
