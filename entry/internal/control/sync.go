package control

// Sync is a request or response of an anti-entropy exchange, in which two entry
// processes send each other the newer versions of their items. If both hold the
// same items, a message carries only Hash.
type Sync struct {
	// Hash is a hash of all items that the sender holds.
	Hash uint64
	// Recent lists the versions that the sender has learned in the last seconds.
	Recent []Mark
	// Buckets holds one hash per bucket of items. It is sent if the hashes of all items differ and
	// Recent does not explain the difference.
	Buckets []uint64
	// Covered lists the buckets of which Marks contains every item.
	Covered []uint16
	Marks   []Mark
	// Wants lists the keys of the items that the sender requests.
	Wants []uint64

	// Objects holds platform objects, whose long values package directory has compressed.
	Objects  []Object
	Tables   []Table
	Members  []Announcement
	Suspects []Suspect
}
