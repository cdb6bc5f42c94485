package partition

import "time"

// ProcessResult holds the versions of the preset at one entry process.
type ProcessResult struct {
	Name string
	// Before, During and After are the last versions seen before the cut, before the heal
	// and before the end.
	Before, During, After int64
	// SwitchTime is the time until the process applied the switched preset. It counts from
	// the heal if the process applied the preset after it, otherwise from the switch. It is
	// negative if the process never applied the preset.
	SwitchTime time.Duration
	// Reverts counts how often an object had a lower version than before.
	Reverts int
}
