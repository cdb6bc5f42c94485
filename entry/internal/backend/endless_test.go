package backend_test

import (
	"io"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/outcome"
	"bramleystand.org/entry/internal/backend"
)

// sendEndlessly repeats a text until the client has closed the connection. It returns nil if the client has
// received limit bytes.
func (s *serverConn) sendEndlessly(text string, limit int) error {
	block := strings.Repeat(text, 1+(32<<10)/len(text))
	for sent := 0; sent < limit; sent += len(block) {
		if _, err := io.WriteString(s, block); err != nil {
			return err
		}
	}
	return nil
}

// Guards against a request that skips interim responses without end.
func TestEndlessInterimResponses(t *testing.T) {
	client, dialer := newClient(t, 3)
	done := startRequest(t.Context(), client, newGetRequest())
	server := <-dialer.accepted
	server.readRequest(t)
	must.Error(t, server.sendEndlessly(interimResponse, 4<<20))
	err := (<-done).err
	must.ErrorContains(t, err, "response head exceeds 1 MiB")
	must.Eq(t, outcome.Unknown, backend.OutcomeOf(err))
	must.Eq(t, 0, client.Counts().Open)
}
