package suspect

// State is a snapshot of a list for dumps and metrics.
type State struct {
	Entries []Entry
	// Crashes counts the reports that a server crashed.
	Crashes uint64
	// Suspected, Condemned and Cleared count the changes of a verdict to MustRunAlone, Condemned and Unrestricted that this
	// list made itself.
	Suspected uint64
	Condemned uint64
	Cleared   uint64
	// Evicted counts the entries that were removed from a full list before they expired.
	Evicted uint64
}
