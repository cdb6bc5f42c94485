package ticket

import (
	"bramleystand.org/common/shard"

	"bramleystand.org/entry/internal/control"
)

// Handover is the history of a shard with its operations for the next leaseholder.
type Handover struct {
	Shard   shard.Shard
	Epochs  []control.Epoch
	Records []control.Record
}
