package configuration

import (
	"time"

	"bramleystand.org/common/rank"
)

// DefaultPresets returns the presets ordinary, peak and maintenance, of which ordinary is active.
func DefaultPresets() Presets {
	return Presets{
		Active: "ordinary",
		Items: []Preset{
			{
				Name: "ordinary", Drain: 2 * time.Second,
				Ranks: withTimeouts(RankLimit{Floor: 40, Cap: 100, Queue: 200}, RankLimit{Floor: 35, Cap: 100, Queue: 400}, RankLimit{Floor: 10, Cap: 85, Queue: 400}),
			},
			// During a flood of lookups or uploads, more slots are left to confirmations.
			{
				Name: "peak", Drain: time.Second,
				Ranks: withTimeouts(RankLimit{Floor: 50, Cap: 100, Queue: 400}, RankLimit{Floor: 35, Cap: 85, Queue: 400}, RankLimit{Floor: 5, Cap: 25, Queue: 200}),
			},
			// Planned moves wait longer, so that uploads finish on the server that is about to be
			// removed.
			{
				Name: "maintenance", Drain: 10 * time.Second,
				Ranks: withTimeouts(RankLimit{Floor: 40, Cap: 100, Queue: 200}, RankLimit{Floor: 35, Cap: 100, Queue: 400}, RankLimit{Floor: 5, Cap: 35, Queue: 200}),
			},
		},
	}
}

// withTimeouts returns the limits of the ranks with the default timeout of each.
func withTimeouts(confirmation, lookup, upload RankLimit) [rank.Count]RankLimit {
	confirmation.Timeout = 3 * time.Second
	lookup.Timeout = time.Second
	upload.Timeout = time.Minute
	return [rank.Count]RankLimit{confirmation, lookup, upload}
}
