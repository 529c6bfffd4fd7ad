// Package peer connects instances with each other: twirp over unencrypted HTTP/2.
package peer

import (
	"net/http"

	"hyssopcroft.example/adapter/target"
	"hyssopcroft.example/adapter/wire/memberpb"
	"hyssopcroft.example/control/membership"
)

// NewTransport returns a transport that keeps one HTTP/2 connection to each peer.
func NewTransport() *http.Transport {
	return target.NewTransport(pingAfter, pingTimeout)
}

// MembershipClient returns a client of the membership service of the peer at an address.
func MembershipClient(address string, transport http.RoundTripper) memberpb.Membership {
	return memberpb.NewMembershipProtobufClient("http://"+address, &http.Client{Transport: transport})
}

// MembershipHandler returns the path prefix and the handler that serve the membership service.
func MembershipHandler(s memberpb.Membership) (string, http.Handler) {
	h := memberpb.NewMembershipServer(s)
	return h.PathPrefix(), h
}

// ToWire converts a member record.
func ToWire(m membership.Member) *memberpb.Member {
	return &memberpb.Member{
		Id: m.ID, Address: m.Address, FailureDomain: m.FailureDomain, Incarnation: m.Incarnation,
		State: memberpb.State(m.State), ConfigSequence: m.ConfigSequence,
	}
}

// FromWire converts a member record. A record without a known state counts as suspect.
func FromWire(m *memberpb.Member) membership.Member {
	state := membership.State(m.GetState())
	if state < membership.Starting || state > membership.Dead {
		state = membership.Suspect
	}
	return membership.Member{
		ID: m.GetId(), Address: m.GetAddress(), FailureDomain: m.GetFailureDomain(),
		Incarnation: m.GetIncarnation(), State: state, ConfigSequence: m.GetConfigSequence(),
	}
}
