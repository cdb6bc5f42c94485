package backend_test

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/outcome"
	"bramleystand.org/entry/internal/backend"
)

const interim = "HTTP/1.1 102 Processing\r\n\r\n"

// Guards against a request that waits for ever on a silent connection although new ones work.
func TestSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, p := newClient(t, 4)
		began := time.Now()
		done := start(t.Context(), client, get())
		(<-p.servers).request(t)
		probe := <-p.servers
		r, _ := probe.request(t)
		must.Eq(t, "/probe", r.RequestURI)
		must.Between(t, 300*time.Millisecond, time.Since(began), 400*time.Millisecond)
		probe.answer(t, ok)
		err := (<-done).err
		must.ErrorIs(t, err, backend.ErrSilent)
		must.Eq(t, outcome.Unknown, backend.OutcomeOf(err))
		must.Between(t, 400*time.Millisecond, time.Since(began), 500*time.Millisecond)
		must.Eq(t, 1, client.Counts().Silent)
	})
}

// Guards against a slow request being given up before its answer is overdue, and against one that is never given up.
func TestOverdue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, p := newClient(t, 4)
		began := time.Now()
		slow := get()
		slow.Overdue = began.Add(8 * time.Second)
		done := start(t.Context(), client, slow)
		(<-p.servers).request(t)
		probe := <-p.servers
		probe.request(t)
		probe.answer(t, ok)
		must.ErrorIs(t, (<-done).err, backend.ErrSilent)
		must.Between(t, 8*time.Second, time.Since(began), 8500*time.Millisecond)
	})
}

// Guards against requests that are given up although the server works on them or is frozen as a whole.
func TestNotSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, p := newClient(t, 4)
		done := start(t.Context(), client, get())
		s := <-p.servers
		s.request(t)
		for range 10 {
			time.Sleep(250 * time.Millisecond)
			s.answer(t, interim)
		}
		must.Eq(t, 0, client.Counts().Probes)
		time.Sleep(2 * time.Second)
		must.Positive(t, client.Counts().Probes)
		s.answer(t, ok)
		must.NoError(t, (<-done).err)
	})
}

// Guards against an upload that is given up because its caller is slow.
func TestSlowCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, p := newClient(t, 4)
		body, feed := io.Pipe()
		done := start(t.Context(), client, &backend.Request{Method: "POST", Body: body, Length: -1})
		s := <-p.servers
		go func() {
			time.Sleep(time.Minute)
			feed.Close()
		}()
		s.request(t)
		s.answer(t, ok)
		must.NoError(t, (<-done).err)
		must.Eq(t, 0, client.Counts().Probes)
	})
}
