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
func TestMachineList(t *testing.T) {
	v := newView(directory.New(time.Now(), control.Member{Name: "e"}, nil, nil))
	must.True(t, v.observe(5, []Machine{{Name: "a"}, {Name: "b", Leaving: true}}))
	_, leaving := v.Leaving("a")
	must.False(t, leaving)
	_, leaving = v.Leaving("b")
	must.True(t, leaving)
	must.False(t, v.observe(4, []Machine{{Name: "a"}}))
	must.MapEmpty(t, v.Removed())
	must.True(t, v.observe(6, []Machine{{Name: "a"}}))
	must.Eq(t, map[string]bool{"b": true}, v.Removed())
	_, leaving = v.Leaving("b")
	must.False(t, leaving)
}
