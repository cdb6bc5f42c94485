package control

// ServerState is the health of a backend server as its leaseholder sees it.
type ServerState uint8

// A server becomes Failed only after two failed probes on new connections.
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
