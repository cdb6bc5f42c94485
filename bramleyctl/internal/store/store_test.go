package store_test

import (
	"context"
	"errors"
	"testing"

	"github.com/shoenig/test/must"

	"bramleystand.org/bramleyctl/internal/store"
	"bramleystand.org/common/platform"
)

// objects is a fake whose answers are set by the test.
type objects struct {
	read, written error
	update        platform.Update
	deleted       bool
}

func (f *objects) Get(_ context.Context, name string) (platform.Object, error) {
	return platform.Object{Name: name, Version: 4, Value: []byte("a")}, f.read
}

func (f *objects) List(context.Context, string) ([]platform.Object, int64, error) {
	return []platform.Object{{Name: "a", Version: 1}, {Name: "b", Version: 2, Deleted: true}}, 2, nil
}

func (f *objects) Put(_ context.Context, u platform.Update) (int64, error) {
	f.update = u
	return u.IfVersion + 1, f.written
}

func (f *objects) Delete(_ context.Context, u platform.Update) (int64, error) {
	f.update, f.deleted = u, true
	return u.IfVersion + 1, f.written
}

func change(f *objects, value []byte) (platform.Object, error) {
	return store.New(f, "mika").Change(context.Background(), "preset", func(platform.Object) ([]byte, error) { return value, nil })
}

// Guards against updates without a condition or without an identifier of their own.
func TestChange(t *testing.T) {
	f := &objects{}
	o, err := change(f, []byte("x"))
	must.NoError(t, err)
	must.Eq(t, 5, o.Version)
	must.Eq(t, 4, f.update.IfVersion)
	must.Eq(t, "mika", f.update.Author)
	first := f.update.Change
	f.read = &platform.NotFoundError{Name: "preset", Version: 7}
	o, err = change(f, nil)
	must.NoError(t, err)
	must.True(t, f.deleted && o.Deleted)
	must.Eq(t, 7, f.update.IfVersion)
	must.NotEq(t, first, f.update.Change)
}

// Guards against an update of unknown outcome being called failed, and a failed one unknown.
func TestChangeErrors(t *testing.T) {
	for want, f := range map[string]*objects{
		"lost a race, nothing was changed; version 4 of preset was read": {written: &platform.ConflictError{Author: "rin"}},
		"outcome unknown of change":                                      {written: &platform.ConflictError{Uncertain: true}},
		"outcome unknown of":                                             {written: &platform.UnavailableError{Uncertain: true, Err: errors.New("reset")}},
		"write preset, nothing was changed: platform":                    {written: &platform.UnavailableError{Err: errors.New("refused")}},
		"read preset, nothing was changed: platform":                     {read: &platform.UnavailableError{Err: errors.New("refused")}},
	} {
		_, err := change(f, []byte("x"))
		must.ErrorContains(t, err, want)
		must.Eq(t, want[:7] == "outcome", store.IsUnknown(err))
	}
}

// Guards against tombstones being shown as objects.
func TestList(t *testing.T) {
	all, err := store.New(&objects{}, "mika").List(t.Context(), "")
	must.NoError(t, err)
	must.Len(t, 1, all)
}
