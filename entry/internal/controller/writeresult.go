package controller

// WriteResult is the outcome of a conditional write to the platform.
type WriteResult uint8

// The results. A write whose response was lost is WriteUnknown: it may still take effect.
const (
	WriteStored WriteResult = iota
	WriteConflict
	WriteUnknown
)
