package backend_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/outcome"
	"bramleystand.org/entry/internal/backend"
)

// Guards against a grant or a probe that reads a response without end, into memory or until its deadline.
func TestEndlessResponseToGrant(t *testing.T) {
	for name, head := range map[string]string{
		"accepted": "200 OK", "refused": "409 Conflict\r\nBramley-Outcome: not-run",
	} {
		t.Run(name, func(t *testing.T) {
			client, dialer := newClient(t, 4)
			done := startGrant(t, client, time.Now().Add(time.Second))
			probe := <-dialer.accepted
			probe.readRequest(t)
			probe.writeResponse(t, responseWithClock("200 OK", 1, time.Hour))
			server := <-dialer.accepted
			server.readGrant(t)
			server.writeResponse(t, "HTTP/1.1 "+head+"\r\nContent-Length: 1000000000\r\n\r\n")
			must.Error(t, server.sendEndlessly("a", 4<<20))
			got := <-done
			must.Error(t, got.err)
			if name == "refused" {
				must.ErrorIs(t, got.err, backend.ErrRefused)
				return
			}
			must.ErrorContains(t, got.err, "larger than 4 KiB")
			must.Eq(t, outcome.Unknown, backend.OutcomeOf(got.err))
		})
	}
	t.Run("probe", func(t *testing.T) {
		client, dialer := newClient(t, 4)
		done := make(chan error, 1)
		go func() { done <- client.Probe(t.Context()) }()
		server := <-dialer.accepted
		server.readRequest(t)
		server.writeResponse(t, "HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n")
		must.Error(t, server.sendEndlessly("a", 4<<20))
		must.ErrorContains(t, <-done, "larger than 4 KiB")
	})
}
