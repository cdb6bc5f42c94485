package election

// Action is what the process has to do next.
type Action int

// Actions.
const (
	// NoAction means that nothing is due.
	NoAction Action = iota
	// ReadLock means that the lock must be read from the store.
	ReadLock
	// WriteLock means that the proposed lock must be written, on condition that the store still has
	// the proposal's revision.
	WriteLock
)
