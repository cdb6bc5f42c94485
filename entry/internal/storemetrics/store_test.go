package storemetrics_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/apex/log/handlers/memory"
	"github.com/shoenig/test/must"

	"bramleystand.org/entry/internal/storemetrics"
	"bramleystand.org/platform"
)

// stubStore fails every call with an error, or succeeds if it is nil.
type stubStore struct {
	err error
	era *uint64
}

func (c stubStore) Era() uint64 { return *c.era }

func (c stubStore) List(context.Context, string) ([]platform.Object, uint64, error) {
	return nil, 0, c.err
}

func (c stubStore) ListStale(context.Context, string) ([]platform.Object, uint64, error) {
	return nil, 0, c.err
}

func (c stubStore) GetStale(context.Context, string, string) (platform.Object, error) {
	return platform.Object{}, c.err
}

func (c stubStore) Get(context.Context, string, string) (platform.Object, error) {
	return platform.Object{}, c.err
}

func (c stubStore) Watch(context.Context, string, uint64, time.Duration) ([]platform.Event, uint64, error) {
	return nil, 0, c.err
}

func (c stubStore) Put(_ context.Context, _ string, o platform.Object) (platform.Object, error) {
	return o, c.err
}

// Guards against a response of the store that is counted as a failed call, and a failed call that is not.
func TestCounts(t *testing.T) {
	for err, failed := range map[error]int{nil: 0, platform.ErrNotFound: 0, platform.ErrConflict: 0, platform.ErrCompacted: 0, errors.New("refused"): 1} {
		s := storemetrics.New(stubStore{err, new(uint64)}, &log.Logger{Handler: discard.New()})
		_, _, got := s.List(t.Context(), "k")
		must.Eq(t, err, got)
		_, got = s.Get(t.Context(), "k", "n")
		must.Eq(t, err, got)
		_, _, got = s.Watch(t.Context(), "k", 1, time.Second)
		must.Eq(t, err, got)
		_, got = s.Put(t.Context(), "k", platform.Object{})
		must.Eq(t, err, got)
		for _, name := range []string{"list", "get", "watch", "put"} {
			must.Eq(t, 1, s.Counts()[name])
			must.Eq(t, failed, s.Counts()[name+" failed"])
		}
	}
}

// Guards against a restored store that leaves no trace in the log, and against a line when the era of
// the first response becomes known.
func TestRestoredStoreIsLogged(t *testing.T) {
	handler := memory.New()
	era := uint64(0)
	refusing := stubStore{errors.New("refused"), &era}
	s := storemetrics.New(&refusing, &log.Logger{Handler: handler})
	_, _, _ = s.List(t.Context(), "k")
	refusing.err, era = nil, 3
	_, _, err := s.List(t.Context(), "k")
	must.NoError(t, err)
	must.SliceEmpty(t, handler.Entries)
	era = 4
	for range 2 {
		_, err = s.Get(t.Context(), "k", "n")
		must.NoError(t, err)
	}
	must.Len(t, 1, handler.Entries)
	must.Eq(t, log.Fields{"era": uint64(4), "previous": uint64(3)}, handler.Entries[0].Fields)
}
