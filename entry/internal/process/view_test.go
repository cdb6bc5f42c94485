package process

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/entry/internal/control"
	"bramleystand.org/entry/internal/directory"
)

// Guards against a VM that the platform takes away without its shards having moved, against an old
// list undoing a newer one, and against a VM that is not listed yet being taken for removed.
func TestVMList(t *testing.T) {
	v := newView(directory.New(time.Now(), control.Member{Name: "e"}, nil, nil))
	must.True(t, v.observe(5, []VM{{Name: "a"}, {Name: "b", Leaving: true}}))
	_, leaving := v.Leaving("a")
	must.False(t, leaving)
	_, leaving = v.Leaving("b")
	must.True(t, leaving)
	must.False(t, v.observe(4, []VM{{Name: "a"}}))
	must.MapEmpty(t, v.Removed())
	must.True(t, v.observe(6, []VM{{Name: "a"}}))
	must.Eq(t, map[string]bool{"b": true}, v.Removed())
	_, leaving = v.Leaving("b")
	must.False(t, leaving)
}
