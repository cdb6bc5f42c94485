package ticket

import (
	"bramleystand.org/common/shard"

	"bramleystand.org/entry/internal/control"
)

// Handover transfers the ticket history of a shard and its operations to the next leaseholder.
type Handover struct {
	Shard        shard.Shard
	TicketRanges []control.TicketRange
	Records      []control.Record
}
