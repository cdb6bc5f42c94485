package suspect

// State is a snapshot of a list for dumps and metrics.
type State struct {
	Entries   []Entry
	Crashes   uint64
	Suspected uint64
	Condemned uint64
	Cleared   uint64
	// Evicted counts the entries that a newer one took the place of before they expired.
	Evicted uint64
}
