package connbudget

// State is what a connection is held for.
type State int

// The states of a connection.
const (
	// Silent: nothing has been received yet.
	Silent State = iota
	// Reading: the head of a request has arrived in part.
	Reading
	// Serving: a request is being served. Such a connection is never closed for another one.
	Serving
	// Idle: the last response has been sent, and nothing of another request has been received.
	Idle
	// Lingering: the client has its last response, and may still be sending what is not wanted.
	Lingering
	states
)

// evictionOrder is the order in which connections that have been in their state for a while are closed for others: first those that
// carry nothing or are late, and last those whose clients use them again and again.
var evictionOrder = [...]State{Lingering, Silent, Reading, Idle}

// youngEvictionOrder is the order among the others. A client that has just connected is about to send, and one that is sending is
// about to be done.
var youngEvictionOrder = [...]State{Lingering, Idle, Silent, Reading}
