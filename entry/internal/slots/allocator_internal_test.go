package slots

import (
	"bramleystand.org/entry/internal/coldstart"
	"bramleystand.org/entry/internal/requestlimit"
	"bramleystand.org/entry/internal/view"
)

// newTestAllocator returns an allocator without cold servers and pools.
func newTestAllocator(t *requestlimit.Table) *Allocator {
	v := view.New()
	return NewAllocator(t, coldstart.New(t, v), v)
}
