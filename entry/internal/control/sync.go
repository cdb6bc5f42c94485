package control

// Sync is one message, request or response, of an exchange in which two entry
// processes give each other the newer versions of what they hold. If both hold
// the same, it carries the hash alone.
type Sync struct {
	// Hash covers every item that the sender holds.
	Hash uint64
	// Recent lists what the sender has learned in the last seconds.
	Recent []Mark
	// Buckets holds one hash per bucket of items; it is sent if Recent does not explain different hashes.
	Buckets []uint64
	// Covered lists the buckets whose items are all in Marks.
	Covered []uint16
	Marks   []Mark
	// Wants lists the keys of items that the sender asks for.
	Wants []uint64

	// Objects have values that package directory has packed.
	Objects  []Object
	Tables   []Table
	Members  []Announcement
	Suspects []Suspect
}
