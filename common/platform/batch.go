package platform

// Batch is a group of changes that Watch delivers at once.
type Batch struct {
	// Objects are changes in their order or, if Snapshot is true, all objects and tombstones.
	Objects []Object
	// Version is the version up to which the batches so far are complete.
	Version int64
	// Snapshot is true if the batch replaces all objects of earlier batches.
	Snapshot bool
}
