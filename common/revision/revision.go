// Package revision defines the revisions of a store that may be restored from a copy.
//
// A restored store assigns numbers again that it has already assigned to changes which the copy does
// not have. Each restore begins a new era, and a revision of a later era is greater than each one of
// an earlier era, so that revisions can be compared like plain numbers.
//
// # Usage
//
//	r := revision.New(era, number)
//	if r > current {
//		// The object is newer.
//	}
package revision

import "fmt"

// numberBits is the size of a number within its era; the era has the other 16 bits.
const numberBits = 48

// Revision is a revision of a store; a greater value belongs to a later change.
type Revision uint64

// New returns the revision of a number within an era.
func New(era, number uint64) Revision { return Revision(era<<numberBits | number) }

// Era returns the number of times that the store had been restored.
func (r Revision) Era() uint64 { return uint64(r >> numberBits) }

// Number returns the number within the era, as the store assigned it.
func (r Revision) Number() uint64 { return uint64(r & (1<<numberBits - 1)) }

// String formats the revision as era.number.
func (r Revision) String() string { return fmt.Sprintf("%d.%d", r.Era(), r.Number()) }
