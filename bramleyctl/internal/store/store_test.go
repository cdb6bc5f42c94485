package store_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/bramleyctl/internal/store"
)

var errLost = errors.New("connection reset")

// objects is a fake with one object whose answers follow a script.
type objects struct {
	current store.Object
	// lose, refuse and race say what happens to the next writes.
	lose   []bool
	refuse bool
	race   bool
	puts   int
}

func (f *objects) Get(context.Context, string) (store.Object, error) {
	if f.refuse {
		return store.Object{}, store.ErrUnavailable
	}
	return f.current, nil
}

func (f *objects) List(context.Context, string) ([]store.Object, error) {
	return []store.Object{f.current, {Name: "gone", Version: 1, Deleted: true}}, nil
}

func (f *objects) other() {
	f.current.Version++
	f.current.Author, f.current.Change = "rin", "c"
}

func (f *objects) Put(_ context.Context, o store.Object) (store.Object, error) {
	f.puts++
	if f.race && f.puts == 1 {
		f.other()
	}
	applied := o.Version == f.current.Version
	if len(f.lose) > 0 {
		arrives := f.lose[0]
		f.lose = f.lose[1:]
		if arrives && applied {
			o.Version++
			f.current = o
		}
		return store.Object{}, errLost
	}
	if !applied {
		return store.Object{}, store.ErrConflict
	}
	o.Version++
	f.current = o
	return o, nil
}

func change(t *testing.T, f *objects) (store.Object, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	return store.New(f, "mika").Change(ctx, "preset", func(o store.Object) ([]byte, error) {
		return append(o.Value, 'x'), nil
	})
}

// Guards against a change that was lost or not made being reported as done, and against one that
// was made being reported as failed or being made twice.
func TestChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for name, c := range map[string]struct {
			objects objects
			value   string
			want    error
		}{
			"plain":             {objects{}, "ax", nil},
			"answer lost":       {objects{lose: []bool{true}}, "ax", nil},
			"request lost":      {objects{lose: []bool{false}}, "ax", nil},
			"both lost":         {objects{lose: []bool{false, true, false}}, "ax", nil},
			"always lost":       {objects{lose: make([]bool, 100)}, "a", store.ErrUnknown},
			"unavailable":       {objects{refuse: true}, "a", store.ErrUnavailable},
			"replaced at once":  {objects{race: true, lose: []bool{true}}, "a", store.ErrUnknown},
			"lost, then a race": {objects{race: true, lose: []bool{false}}, "a", store.ErrUnknown},
		} {
			f := c.objects
			f.current = store.Object{Name: "preset", Version: 4, Value: []byte("a"), Author: "ana", Change: "b"}
			o, err := change(t, &f)
			must.ErrorIs(t, err, c.want, must.Sprint(name))
			must.Eq(t, c.value, string(f.current.Value), must.Sprint(name))
			if c.want == nil {
				must.Eq(t, 5, o.Version, must.Sprint(name))
				must.Eq(t, "mika", o.Author, must.Sprint(name))
			}
		}
	})
}

// Guards against the loser of a race not being told who won.
func TestLostRace(t *testing.T) {
	f := objects{race: true, current: store.Object{Name: "preset", Version: 4}}
	_, err := change(t, &f)
	var lost *store.LostRaceError
	must.True(t, errors.As(err, &lost))
	must.Eq(t, 5, lost.Current.Version)
	must.ErrorContains(t, err, `version 4 was read, but version 5 by "rin" is in force; nothing was changed`)
}

// Guards against tombstones being shown as objects.
func TestList(t *testing.T) {
	f := objects{current: store.Object{Name: "preset", Version: 4}}
	all, err := store.New(&f, "mika").List(t.Context(), "")
	must.NoError(t, err)
	must.Len(t, 1, all)
}
