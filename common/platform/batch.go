package platform

// Batch is a step of a watch.
type Batch struct {
	// Objects are changes in their order or, if Complete is true, all objects and tombstones.
	Objects []Object
	// Version is the version up to which the batches so far are complete.
	Version int64
	// Complete batches replace all that was known before.
	Complete bool
}
