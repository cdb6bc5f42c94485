package partition

import "time"

// Process holds the versions of the preset that one entry process had.
type Process struct {
	Name string
	// Before, During and After are the versions at the cut, at the heal and at the end.
	Before, During, After int64
	// Followed is the time until the switched preset was in force, from the heal if it
	// came later and else from the switch; negative if it never was.
	Followed time.Duration
	// Reverted counts objects whose version went back.
	Reverted int
}
