// Package fence defines the fencing token that orders leases of an upstream.
//
// A token combines the term of the controller that granted the lease with a
// sequence number within that term. Terms never repeat, so a token granted by a
// later controller is always greater than every token of an earlier one, and no
// counter has to be stored to keep tokens unique.
//
// # Usage
//
//	f := fence.New(term, sequence)
//	if f < current {
//		// The lease is outdated.
//	}
package fence

import "fmt"

// Fence is a fencing token; a greater value belongs to a later lease.
type Fence uint64

// New returns the token for a sequence number within a controller term.
func New(term, sequence uint32) Fence {
	return Fence(uint64(term)<<32 | uint64(sequence))
}

// Term returns the controller term of the token.
func (f Fence) Term() uint32 {
	return uint32(f >> 32)
}

// Sequence returns the sequence number within the term.
func (f Fence) Sequence() uint32 {
	return uint32(f)
}

// String formats the token as term.sequence.
func (f Fence) String() string {
	return fmt.Sprintf("%d.%d", f.Term(), f.Sequence())
}
