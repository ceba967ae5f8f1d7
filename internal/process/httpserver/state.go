package httpserver

// state is what a connection is doing.
type state int

// The states of a connection.
const (
	// stateNew means that nothing has been sent yet.
	stateNew state = iota
	// stateHead means that a part of a head has been read.
	stateHead
	// stateBody means that a part of a body is missing.
	stateBody
	// stateIdle means that a request has been answered and nothing of the next one has been read.
	stateIdle
	// stateServing means that a request has been read whole and is not answered yet.
	stateServing
	// stateRefused means that a refusal has been written and the connection closes.
	stateRefused
	stateCount
)

var stateNames = [stateCount]string{"new", "head", "body", "idle", "serving", "refused"}

func (s state) String() string { return stateNames[s] }

// evictionOrder lists the states whose connections may be closed to make room, those that have given least first.
var evictionOrder = [...]state{stateRefused, stateNew, stateHead, stateBody, stateIdle}
