package upstream

import (
	"bramleystand.org/entry/internal/control"
	"bramleystand.org/entry/internal/ticket"
)

func decodeHandover(r control.Release) ticket.Handover {
	h := ticket.Handover{Shard: r.Shard, Records: r.Records}
	for _, e := range r.Epochs {
		h.Epochs = append(h.Epochs, ticket.Epoch(e))
	}
	return h
}

func encodeHandover(r *control.Release, h ticket.Handover) {
	r.Records = h.Records
	for _, e := range h.Epochs {
		r.Epochs = append(r.Epochs, control.Epoch(e))
	}
}
