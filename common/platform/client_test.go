package platform_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/platform"
)

const (
	putRequest     = "PUT /objects/services%2Fa"
	getRequest     = "GET /objects/services%2Fa"
	changesRequest = "GET /watch?prefix=services%2Fa&after=3&wait=0s"
	conflictBody   = `{"error":"x","version":5,"author":"bob","change":"c9"}`
)

// putResult holds the return values of Put or Delete.
type putResult struct {
	version int64
	err     error
}

// startPut calls Put in a goroutine.
func startPut(ctx context.Context, c *platform.Client) chan putResult {
	done := make(chan putResult, 1)
	go func() {
		version, err := c.Put(ctx, platform.Update{
			Name: "services/a", Value: []byte("v"), IfVersion: 3, Author: "ada", Change: "c1",
		})
		done <- putResult{version, err}
	}()
	return done
}

// Guards against an update whose response was lost being reported with the wrong result, or being
// applied twice.
func TestLostAnswer(t *testing.T) {
	lost := reply{err: errLost}
	type step struct {
		request string
		reply   reply
	}
	for name, c := range map[string]struct {
		steps     []step
		version   int64
		author    string
		uncertain bool
	}{
		"applied": {steps: []step{{putRequest, lost}, {getRequest, objectReply(4, "c1", "v")}}, version: 4},
		"not applied": {
			steps:   []step{{putRequest, lost}, {getRequest, objectReply(3, "c0", "u")}, {putRequest, jsonReply(200, `{"version":4}`)}},
			version: 4,
		},
		"applied after the read": {
			steps:   []step{{putRequest, lost}, {getRequest, objectReply(3, "c0", "u")}, {putRequest, jsonReply(409, conflictBody)}, {getRequest, objectReply(4, "c1", "v")}},
			version: 4,
		},
		"read fails": {
			steps:   []step{{putRequest, reply{status: 503}}, {getRequest, lost}, {putRequest, jsonReply(409, conflictBody)}, {getRequest, objectReply(4, "c1", "v")}},
			version: 4,
		},
		"overwritten": {
			steps: []step{
				{putRequest, lost},
				{getRequest, objectReply(5, "c9", "w")},
				{changesRequest, jsonReply(200, `{"version":5,"objects":[{"name":"services/ab","version":4},{"name":"services/a","version":4,"author":"ada","change":"c1"}]}`)},
			},
			version: 4,
		},
		"another update was first": {
			steps: []step{
				{putRequest, lost},
				{getRequest, objectReply(5, "c9", "w")},
				{changesRequest, jsonReply(200, `{"version":5,"objects":[{"name":"services/a","version":5,"author":"ada","change":"c9"}]}`)},
			},
			author: "ada",
		},
		"deleted by another": {
			steps: []step{
				{putRequest, lost},
				{getRequest, jsonReply(404, `{"version":5,"author":"bob","deleted":true}`)},
				{changesRequest, jsonReply(200, `{"version":5,"objects":[{"name":"services/a","version":5,"author":"bob","deleted":true}]}`)},
			},
			author: "bob",
		},
		"changes no longer kept": {
			steps:     []step{{putRequest, lost}, {getRequest, objectReply(5, "c9", "w")}, {changesRequest, reply{status: 410}}},
			author:    "ada",
			uncertain: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client, s := newClient()
				done := startPut(t.Context(), client)
				for _, step := range c.steps {
					s.expect(t, step.request, step.reply)
				}
				got := <-done
				if c.author == "" {
					must.NoError(t, got.err)
					must.Eq(t, c.version, got.version)
					return
				}
				var conflict *platform.ConflictError
				must.True(t, errors.As(got.err, &conflict), must.Sprint(got.err))
				must.Eq(t, 5, conflict.Version)
				must.Eq(t, c.author, conflict.Author)
				must.Eq(t, c.uncertain, conflict.Uncertain)
			})
		})
	}
}

// Guards against a conflict error that does not name the update that was first, and against a
// needless read after a conflict without a lost response.
func TestConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, s := newClient()
		done := startPut(t.Context(), client)
		c := s.expect(t, putRequest, jsonReply(409, conflictBody))
		must.Eq(t, []string{"3", "ada", "c1", "v"},
			[]string{c.header.Get("If-Version"), c.header.Get("Author"), c.header.Get("Change"), c.body})
		must.ErrorContains(t, (<-done).err, `version 5 by "bob"`)

		go func() {
			version, err := client.Delete(t.Context(), platform.Update{Name: "a", IfVersion: 5, Author: "ada", Change: "c2"})
			done <- putResult{version, err}
		}()
		s.expect(t, "DELETE /objects/a", jsonReply(200, `{"version":6}`))
		must.Eq(t, putResult{6, nil}, <-done)
	})
}

// Guards against calls that never end while the platform is unavailable, and against a wrong
// Uncertain: the result of an update is uncertain after a lost response, but not after a refused
// connection.
func TestUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, s := newClient()
		var unavailable *platform.UnavailableError
		for _, failure := range []error{errRefused, errLost} {
			began := time.Now()
			ctx, cancel := context.WithCancel(t.Context())
			go func() {
				for {
					select {
					case c := <-s.calls:
						c.replies <- reply{err: failure}
					case <-ctx.Done():
						return
					}
				}
			}()
			got := <-startPut(t.Context(), client)
			must.True(t, errors.As(got.err, &unavailable))
			must.Eq(t, errors.Is(failure, errLost), unavailable.Uncertain)
			must.Between(t, 9*time.Second, time.Since(began), 11*time.Second)
			cancel()
		}
		began := time.Now()
		_, err := client.Get(t.Context(), "a")
		must.True(t, errors.As(err, &unavailable))
		must.ErrorIs(t, err, context.DeadlineExceeded)
		must.Eq(t, 2*time.Second, time.Since(began))
	})
}

// Guards against errors that callers can't distinguish by their type.
func TestErrorTypes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, s := newClient()
		go s.expect(t, "GET /objects/a", jsonReply(404, `{"version":7,"author":"ada","deleted":true}`))
		_, err := client.Get(t.Context(), "a")
		var missing *platform.NotFoundError
		must.True(t, errors.As(err, &missing))
		must.Eq(t, 7, missing.Version)

		done := startPut(t.Context(), client)
		s.expect(t, putRequest, jsonReply(413, `{"error":"too large"}`))
		var rejected *platform.RejectedError
		must.True(t, errors.As((<-done).err, &rejected))
		must.ErrorContains(t, rejected, "too large")

		go s.expect(t, "GET /vms", jsonReply(200, `{"version":2,"vms":[{"name":"a","dc":"klm","state":"leaving"}]}`))
		vms, err := client.VMs(t.Context())
		must.NoError(t, err)
		must.Eq(t, platform.VMs{Version: 2, Items: []platform.VM{{Name: "a", DataCentre: "klm", Leaving: true}}}, vms)

		go s.expect(t, "GET /vms", jsonReply(200, `{"version":2,"machi`))
		_, err = client.VMs(t.Context())
		var unavailable *platform.UnavailableError
		must.True(t, errors.As(err, &unavailable), must.Sprint("a truncated response must be reported as unavailable"))
	})
}

// Guards against a watch that misses changes after an outage, after a response without changes, or
// after the platform has dropped old changes.
func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, s := newClient()
		batches := make(chan platform.Batch, 1)
		ended := make(chan error, 1)
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			ended <- client.Watch(ctx, "a/", 0, func(b platform.Batch) error { batches <- b; return nil })
		}()
		const list = "GET /objects?prefix=a%2F"
		watch := func(after string) string { return "GET /watch?prefix=a%2F&after=" + after + "&wait=5s" }
		s.expect(t, list, jsonReply(200, `{"version":0,"objects":[]}`))
		must.True(t, (<-batches).Snapshot)
		s.expect(t, watch("0"), jsonReply(200, `{"version":4,"objects":[]}`))
		s.expect(t, watch("4"), reply{err: errRefused})
		s.expect(t, watch("4"), jsonReply(200, `{"version":6,"objects":[{"name":"a/1","version":5,"value":"dg=="}]}`))
		b := <-batches
		must.False(t, b.Snapshot)
		must.Eq(t, "v", string(b.Objects[0].Value))
		s.expect(t, watch("6"), reply{status: 410})
		s.expect(t, list, reply{status: 503})
		s.expect(t, list, jsonReply(200, `{"version":9,"objects":[{"name":"a/1","version":8,"deleted":true}]}`))
		b = <-batches
		must.True(t, b.Snapshot)
		must.True(t, b.Objects[0].Deleted)
		c := <-s.calls
		must.Eq(t, watch("9"), c.request)
		cancel()
		must.ErrorIs(t, <-ended, context.Canceled)
	})
}
