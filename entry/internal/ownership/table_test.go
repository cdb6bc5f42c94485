package ownership_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"bramleystand.org/entry/internal/ownership"
)

// Guards against an older table that replaces a newer one because a restored store gave it a later
// revision.
func TestRestoredTableIsOlder(t *testing.T) {
	current := &ownership.Table{Term: 3, Generation: 7, Revision: 20}
	for _, c := range []struct {
		name  string
		table ownership.Table
		want  bool
	}{
		{"earlier generation", ownership.Table{Term: 3, Generation: 6, Revision: 90}, false},
		{"earlier term", ownership.Table{Term: 2, Generation: 9, Revision: 90}, false},
		{"same copy", *current, false},
		{"written again", ownership.Table{Term: 3, Generation: 7, Revision: 21}, true},
		{"later generation", ownership.Table{Term: 3, Generation: 8, Revision: 4}, true},
		{"later term", ownership.Table{Term: 4, Generation: 1, Revision: 4}, true},
	} {
		must.Eq(t, c.want, c.table.NewerThan(current), must.Sprint(c.name))
	}
	must.True(t, current.NewerThan(nil))
}
