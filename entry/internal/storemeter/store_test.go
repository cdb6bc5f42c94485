package storemeter_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/entry/internal/storemeter"
	"bramleystand.org/platform"
)

type calls struct{ err error }

func (c calls) List(context.Context, string) ([]platform.Object, uint64, error) { return nil, 0, c.err }

func (c calls) Get(context.Context, string, string) (platform.Object, error) {
	return platform.Object{}, c.err
}

func (c calls) Watch(context.Context, string, uint64, time.Duration) ([]platform.Event, uint64, error) {
	return nil, 0, c.err
}

func (c calls) Put(_ context.Context, _ string, o platform.Object) (platform.Object, error) {
	return o, c.err
}

// Guards against an answer that counts as an outage of the store, and an outage that does not.
func TestCounts(t *testing.T) {
	for err, failed := range map[error]int{nil: 0, platform.ErrMissing: 0, platform.ErrConflict: 0, platform.ErrCompacted: 0, errors.New("refused"): 1} {
		s := storemeter.New(calls{err})
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
