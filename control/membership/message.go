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
	// Acked is the version of the receiver's table whose changes the sender has, 0 if none.
	Acked uint64
	// ReceiverUnknown says that the sender of this answer does not know the asking instance.
	ReceiverUnknown bool
	Changed         []Member
	Confirmed       []Confirmation
}

// Action is something that the owner of a Node has to do: SendExchange, AskThrough or
// RequestFullState.
type Action interface{ action() }

// SendExchange asks for an exchange with a peer. The owner reports OnAnswer or OnMiss.
type SendExchange struct {
	To      Member
	Message Message
}

// RequestProbe asks another member to exchange with a silent one. The owner reports OnAsked.
type RequestProbe struct {
	Prober, Silent Member
}

// RequestFullState asks a peer for all its records. The owner reports OnFullState if it answers.
type RequestFullState struct {
	From Member
}

func (SendExchange) action()     {}
func (RequestProbe) action()     {}
func (RequestFullState) action() {}
