package process

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/entry/internal/control"
	"bramleystand.org/entry/internal/directory"
)

// Guards against keeping shards on a VM that the platform marks as leaving or removes from
// its list, against a stale list replacing a newer one, and against treating a VM that has
// not been listed yet as removed.
func TestPairDirectoryVMList(t *testing.T) {
	d := newPairDirectory(directory.New(time.Now(), control.Member{Name: "e"}, nil, nil))
	must.True(t, d.updateVMs(5, []VM{{Name: "a"}, {Name: "b", Leaving: true}}))
	_, leaving := d.Leaving("a")
	must.False(t, leaving)
	_, leaving = d.Leaving("b")
	must.True(t, leaving)
	must.False(t, d.updateVMs(4, []VM{{Name: "a"}}))
	must.MapEmpty(t, d.Removed())
	must.True(t, d.updateVMs(6, []VM{{Name: "a"}}))
	must.Eq(t, map[string]bool{"b": true}, d.Removed())
	_, leaving = d.Leaving("b")
	must.False(t, leaving)
}
