package fence_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/fence"
)

// Guards against a token of an earlier term comparing greater than one of a later term.
func TestTokenOrder(t *testing.T) {
	must.Less(t, fence.New(2, 0), fence.New(1, 1<<32-1))
	must.Less(t, fence.New(2, 8), fence.New(2, 7))
}

// Guards against a token whose term and sequence are exchanged when they are read back.
func TestTermAndSequence(t *testing.T) {
	f := fence.New(3, 9)
	must.Eq(t, 3, f.Term())
	must.Eq(t, 9, f.Sequence())
	must.Eq(t, "3.9", f.String())
}
