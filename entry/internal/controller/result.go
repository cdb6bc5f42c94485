package controller

// Result is the outcome of a conditional write to the platform.
type Result uint8

// The results. A write whose response was lost is Unknown: it may still take effect.
const (
	Stored Result = iota
	Conflict
	Unknown
)
