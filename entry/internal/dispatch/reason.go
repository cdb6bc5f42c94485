package dispatch

// Reason tells how a call ended: answered by a server, or why not.
type Reason string

// Reasons for the end of a call.
const (
	// Answered means that a server sent a valid response.
	Answered Reason = "answered"
	// NoServer means that no server of the service accepts requests.
	NoServer Reason = "no server"
	// ServersLeave means that all servers of the service leave, so that none can become the owner of the key.
	ServersLeave Reason = "servers leave"
	// NoOwner means that no server became the owner of the key in time.
	NoOwner Reason = "no owner"
	// Unreachable means that no connection could be opened.
	Unreachable Reason = "unreachable"
	// HeldOff means that the servers which could run the request take none from this process for a time.
	HeldOff Reason = "held off"
	// NoSlot means that the wait for a slot would be too long.
	NoSlot Reason = "full"
	// OverLimit means that the server takes no more requests in a second than it has got.
	OverLimit Reason = "over limit"
	// NotRun means that the servers stated that they did not run the request.
	NotRun Reason = "not run by server"
	// UnusableResponse means that a server sent no valid response.
	UnusableResponse Reason = "no usable answer"
	// DeadlineExceeded means that the deadline passed before a response arrived.
	DeadlineExceeded Reason = "late"
	// ClientDisconnected means that the client closed its connection.
	ClientDisconnected Reason = "client left"
	// CrashesServers means that the request is blocked because servers crashed while running it.
	CrashesServers Reason = "crashes servers"
	// Stopping means that the process stops before the request could be sent to a server.
	Stopping Reason = "stopping"
	// GivenUp means that the process ends before the server has answered.
	GivenUp Reason = "given up"
	// CutOff means that the request was given up at a server because the process found that it reaches
	// none.
	CutOff Reason = "cut off"
	// PeerLost means that the entry process through which the request was sent was lost before its
	// result.
	PeerLost Reason = "peer lost"
	// RelayFull means that the entry process through which the request was to be sent has no memory for it.
	RelayFull Reason = "relay full"
)
