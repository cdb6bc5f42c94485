package server_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/platform"
)

// Guards against a client and a simulated platform that interpret the API differently, also when
// responses to writes are lost and during an outage.
func TestPlatformClient(t *testing.T) {
	p := newTestServer()
	s := httptest.NewServer(p)
	defer s.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	c := platform.New(netip.MustParseAddrPort(s.Listener.Addr().String()), &http.Client{Transport: &http.Transport{}})
	batches := make(chan platform.Batch)
	watchErr := make(chan error)
	go func() {
		watchErr <- c.Watch(ctx, "services/", 0, func(b platform.Batch) error { batches <- b; return nil })
	}()
	must.True(t, (<-batches).Snapshot)

	value := []byte{0, 0xff, '\n'}
	update := platform.Update{Name: "services/a b%2F", Value: value, Author: "ada", Change: "c1"}
	p.call(ctx, "POST", "/faults", `{"loseAnswers":1}`)
	version, err := c.Put(ctx, update)
	must.NoError(t, err, must.Sprint("the response was lost, the update was not"))
	b := <-batches
	must.Eq(t, []platform.Object{{Name: "services/a b%2F", Version: version, Author: "ada", Change: "c1", Value: value}}, b.Objects)
	got, err := c.Get(ctx, update.Name)
	must.NoError(t, err)
	must.Eq(t, b.Objects[0], got)

	update.Author, update.Change = "bob", "c2"
	_, err = c.Put(ctx, update)
	var conflict *platform.ConflictError
	must.True(t, errors.As(err, &conflict))
	must.Eq(t, "ada", conflict.Author)
	update.IfVersion = conflict.Version
	p.call(ctx, "POST", "/faults", `{"loseAnswers":1}`)
	version, err = c.Delete(ctx, update)
	must.NoError(t, err)
	must.True(t, (<-batches).Objects[0].Deleted)
	_, err = c.Get(ctx, update.Name)
	var missing *platform.NotFoundError
	must.True(t, errors.As(err, &missing))
	must.Eq(t, version, missing.Version)
	objects, _, err := c.List(ctx, "services/")
	must.NoError(t, err)
	must.Len(t, 1, objects)

	p.call(ctx, "POST", "/faults", `{"outage":"refuse","outageMs":100}`)
	update.IfVersion, update.Change = version, "c3"
	_, err = c.Put(ctx, update)
	must.NoError(t, err, must.Sprint("the outage ends before the deadline"))
	must.Eq(t, "c3", (<-batches).Objects[0].Change)
	cancel()
	must.ErrorIs(t, <-watchErr, context.Canceled)
}
