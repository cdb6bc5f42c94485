package objectstore_test

import (
	"context"
	"errors"
	"testing"

	"github.com/shoenig/test/must"

	"bramleystand.org/bramleyctl/internal/objectstore"
	"bramleystand.org/common/platform"
)

// fakeClient is an ObjectClient that returns the errors set by the test and records the last
// update.
type fakeClient struct {
	readErr, writeErr error
	update            platform.Update
	deleted           bool
}

func (f *fakeClient) Get(_ context.Context, name string) (platform.Object, error) {
	return platform.Object{Name: name, Version: 4, Value: []byte("a")}, f.readErr
}

func (f *fakeClient) List(context.Context, string) ([]platform.Object, int64, error) {
	return []platform.Object{{Name: "a", Version: 1}, {Name: "b", Version: 2, Deleted: true}}, 2, nil
}

func (f *fakeClient) Put(_ context.Context, u platform.Update) (int64, error) {
	f.update = u
	return u.IfVersion + 1, f.writeErr
}

func (f *fakeClient) Delete(_ context.Context, u platform.Update) (int64, error) {
	f.update, f.deleted = u, true
	return u.IfVersion + 1, f.writeErr
}

// changePreset replaces the object "preset", or deletes it if the value is nil.
func changePreset(f *fakeClient, value []byte) (platform.Object, error) {
	return objectstore.New(f, "mika").Change(context.Background(), "preset", func(platform.Object) ([]byte, error) { return value, nil })
}

// Guards against an update that is sent without the version it was made from, which could
// overwrite somebody else's, or with the change identifier of an earlier update.
func TestChange(t *testing.T) {
	f := &fakeClient{}
	o, err := changePreset(f, []byte("x"))
	must.NoError(t, err)
	must.Eq(t, 5, o.Version)
	must.Eq(t, 4, f.update.IfVersion)
	must.Eq(t, "mika", f.update.Author)
	first := f.update.Change
	f.readErr = &platform.NotFoundError{Name: "preset", Version: 7}
	o, err = changePreset(f, nil)
	must.NoError(t, err)
	must.True(t, f.deleted && o.Deleted)
	must.Eq(t, 7, f.update.IfVersion)
	must.NotEq(t, first, f.update.Change)
}

// Guards against reporting an update of unknown outcome as failed, and a failed one as unknown.
func TestChangeErrors(t *testing.T) {
	for want, f := range map[string]*fakeClient{
		"lost a race, nothing was changed; version 4 of preset was read": {writeErr: &platform.ConflictError{Author: "rin"}},
		"outcome unknown of change":                                      {writeErr: &platform.ConflictError{Uncertain: true}},
		"outcome unknown of":                                             {writeErr: &platform.UnavailableError{Uncertain: true, Err: errors.New("reset")}},
		"write preset, nothing was changed: platform":                    {writeErr: &platform.UnavailableError{Err: errors.New("refused")}},
		"read preset, nothing was changed: platform":                     {readErr: &platform.UnavailableError{Err: errors.New("refused")}},
	} {
		_, err := changePreset(f, []byte("x"))
		must.ErrorContains(t, err, want)
		must.Eq(t, want[:7] == "outcome", objectstore.IsOutcomeUnknown(err))
	}
}

// Guards against listing tombstones as objects.
func TestList(t *testing.T) {
	all, err := objectstore.New(&fakeClient{}, "mika").List(t.Context(), "")
	must.NoError(t, err)
	must.Len(t, 1, all)
}
