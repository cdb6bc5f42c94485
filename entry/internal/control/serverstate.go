package control

// ServerState is what a leaseholder has found out about a backend server.
type ServerState uint8

// The states. A server is only Failed after two probes on new connections.
const (
	Alive ServerState = iota
	Suspected
	Failed
)

// String returns the name of the state.
func (s ServerState) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspected:
		return "suspected"
	case Failed:
		return "failed"
	}
	return "invalid"
}
