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

const interimResponse = "HTTP/1.1 102 Processing\r\n\r\n"

// Guards against a request that waits forever on a connection on which the server has gone
// silent, although new connections work.
func TestSilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, dialer := newClient(t, 4)
		start := time.Now()
		done := startRequest(t.Context(), client, newGetRequest())
		(<-dialer.accepted).readRequest(t)
		probe := <-dialer.accepted
		r, _ := probe.readRequest(t)
		must.Eq(t, "/probe", r.RequestURI)
		must.Between(t, 300*time.Millisecond, time.Since(start), 400*time.Millisecond)
		probe.writeResponse(t, okResponse)
		err := (<-done).err
		must.ErrorIs(t, err, backend.ErrSilent)
		must.Eq(t, outcome.Unknown, backend.OutcomeOf(err))
		must.Between(t, 400*time.Millisecond, time.Since(start), 500*time.Millisecond)
		must.Eq(t, 1, client.Counts().Silent)
	})
}

// Guards against giving up a slow request before its response is overdue, and against never
// giving it up.
func TestOverdueResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, dialer := newClient(t, 4)
		start := time.Now()
		slow := newGetRequest()
		slow.Overdue = start.Add(8 * time.Second)
		done := startRequest(t.Context(), client, slow)
		(<-dialer.accepted).readRequest(t)
		probe := <-dialer.accepted
		probe.readRequest(t)
		probe.writeResponse(t, okResponse)
		must.ErrorIs(t, (<-done).err, backend.ErrSilent)
		must.Between(t, 8*time.Second, time.Since(start), 8500*time.Millisecond)
	})
}

// Guards against giving up requests although the server is working on them, as its interim
// responses show, or is frozen and answers no probe either.
func TestConnectionNotSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, dialer := newClient(t, 4)
		done := startRequest(t.Context(), client, newGetRequest())
		server := <-dialer.accepted
		server.readRequest(t)
		for range 10 {
			time.Sleep(250 * time.Millisecond)
			server.writeResponse(t, interimResponse)
		}
		must.Eq(t, 0, client.Counts().Probes)
		time.Sleep(2 * time.Second)
		must.Positive(t, client.Counts().Probes)
		server.writeResponse(t, okResponse)
		must.NoError(t, (<-done).err)
	})
}

// Guards against giving up an upload because its body arrives slowly.
func TestSlowUpload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, dialer := newClient(t, 4)
		body, bodyWriter := io.Pipe()
		done := startRequest(t.Context(), client, &backend.Request{Method: "POST", Body: body, BodyLength: -1})
		server := <-dialer.accepted
		go func() {
			time.Sleep(time.Minute)
			bodyWriter.Close()
		}()
		server.readRequest(t)
		server.writeResponse(t, okResponse)
		must.NoError(t, (<-done).err)
		must.Eq(t, 0, client.Counts().Probes)
	})
}
