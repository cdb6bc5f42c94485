package store_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"bramleystand.org/platformd/internal/store"
)

// Guards against lost updates, missing changes, versions used twice and deleted objects that
// reappear: the store is compared with a plain list of all changes.
func TestMatchesChangeList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const history = 4
		s := store.New(history)
		var all []store.Object
		names := rapid.SampledFrom([]string{"a/1", "a/2", "b/1"})
		latest := func(name string) (found store.Object) {
			for _, o := range all {
				if o.Name == name {
					found = o
				}
			}
			return found
		}
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				o := store.Object{Name: names.Draw(t, "name"), Author: "ada", Deleted: rapid.Bool().Draw(t, "deleted")}
				current := latest(o.Name)
				wanted := current.Version
				if rapid.Bool().Draw(t, "other version") {
					wanted = rapid.Int64Range(0, int64(len(all))+1).Draw(t, "wanted")
				}
				o.Change = fmt.Sprint(len(all))
				allowed := wanted == current.Version && (!o.Deleted || wanted > 0 && !current.Deleted)
				got, err := s.Write(o, wanted)
				var conflict *store.ConflictError
				if !allowed {
					must.True(t, errors.As(err, &conflict))
					must.Eq(t, current.Version, conflict.Current.Version)
					return
				}
				must.NoError(t, err)
				o.Version = int64(len(all)) + 1
				must.Eq(t, o, got)
				all = append(all, o)
			},
			"read": func(t *rapid.T) {
				name := names.Draw(t, "name")
				got, _ := s.Read(name)
				must.Eq(t, latest(name), got)
			},
			"after": func(t *rapid.T) {
				after := rapid.IntRange(0, len(all)).Draw(t, "after")
				limit := rapid.IntRange(1, 5).Draw(t, "limit")
				got, version, err := s.ChangesAfter("a/", int64(after), limit)
				if err != nil {
					must.Less(t, len(all)-history, after, must.Sprint("recent changes must be known"))
					return
				}
				var want []store.Object
				for _, o := range all[after:] {
					if o.Name[0] == 'a' && o.Version <= version {
						want = append(want, o)
					}
				}
				must.Eq(t, len(want), len(got))
				for i := range want {
					must.Eq(t, want[i], got[i])
				}
				must.LessEq(t, limit, len(got))
				must.True(t, len(got) == limit || version == int64(len(all)))
			},
		})
	})
}

// Guards against a watch that waits for versions which only an earlier process has reached: a new
// store must report them as unknown.
func TestFutureVersion(t *testing.T) {
	_, _, err := store.New(4).ChangesAfter("", 7, 1)
	must.ErrorIs(t, err, store.ErrChangesUnknown)
}
