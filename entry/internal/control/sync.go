package control

// Sync is a request or response of an anti-entropy exchange, in which two entry
// processes send each other the newer versions of their items. If both hold the
// same items, a message carries only Hash.
type Sync struct {
	// Hash is a hash of all items that the sender holds.
	Hash uint64
	// RecentVersions lists the versions that the sender has learned in the last seconds.
	RecentVersions []ItemVersion
	// Buckets holds one hash per bucket of items. It is sent if the hashes of all items differ and
	// RecentVersions does not explain the difference.
	Buckets []uint64
	// ListedBuckets lists the buckets of which ItemVersions contains every item.
	ListedBuckets []uint16
	ItemVersions  []ItemVersion
	// RequestedKeys lists the keys of the items that the sender requests.
	RequestedKeys []uint64

	// Objects holds platform objects, whose long values package directory has compressed.
	Objects  []Object
	Tables   []Table
	Members  []Announcement
	Suspects []Suspect
}
