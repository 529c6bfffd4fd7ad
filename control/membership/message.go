package membership

// Message is one direction of an exchange.
type Message struct {
	// ID, Incarnation and State are the sender's.
	ID          string
	Incarnation uint64
	State       State
	// Hash is the sender's membership hash after the changes in this message.
	Hash uint64
	// Version is the sender's table version after the changes in this message.
	Version uint64
	// Acked is the version of the receiver's table up to which the sender has merged its changes, 0 if
	// none.
	Acked uint64
	// ReceiverUnknown is set in an answer if the answering instance has no record of the requesting
	// instance, or only one of an earlier incarnation.
	ReceiverUnknown bool
	Changed         []Member
	Confirmed       []Confirmation
}

// Action is a request to the owner of a Node: SendExchange, RequestProbe or RequestFullState.
type Action interface{ action() }

// SendExchange requests an exchange with a peer. The owner reports its end with OnAnswer or OnMiss.
type SendExchange struct {
	To      Member
	Message Message
}

// RequestProbe requests an indirect probe: Prober exchanges messages with the unresponsive member
// Subject. The owner reports the result with OnProbeResult.
type RequestProbe struct {
	Prober, Subject Member
}

// RequestFullState requests all records of a peer. The owner calls OnFullState if the peer answers.
type RequestFullState struct {
	From Member
}

func (SendExchange) action()     {}
func (RequestProbe) action()     {}
func (RequestFullState) action() {}
