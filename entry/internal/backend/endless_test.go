package backend_test

import (
	"fmt"
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

// Guards against heads that are each below a limit but hold the memory of the process together: of a short line,
// ten times its bytes are held.
func TestMemoryForHeads(t *testing.T) {
	const requests = 40
	var lines strings.Builder
	for i := 0; lines.Len() < 60<<10; i++ {
		fmt.Fprintf(&lines, "%x:\r\n", i)
	}
	client, dialer := newClient(t, requests+2)
	refused := 0
	for range requests {
		done := make(chan error, 1)
		go func() {
			// The body stays open, and with it the memory reserved.
			_, err := client.Do(t.Context(), newGetRequest())
			done <- err
		}()
		server := <-dialer.accepted
		server.readRequest(t)
		_, _ = io.WriteString(server, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n"+lines.String()+"\r\n")
		if err := <-done; err != nil {
			must.ErrorContains(t, err, "no memory left for the response head")
			refused++
		}
	}
	must.Eq(t, requests-9, refused, must.Sprint("8 MiB hold 9 heads of 60 KiB"))
}

// Guards against a single head of up to 1 MiB.
func TestEndlessHead(t *testing.T) {
	client, dialer := newClient(t, 3)
	done := startRequest(t.Context(), client, newGetRequest())
	server := <-dialer.accepted
	server.readRequest(t)
	_, _ = io.WriteString(server, "HTTP/1.1 200 OK\r\nX: ")
	must.Error(t, server.sendEndlessly("a", 1<<20))
	must.ErrorContains(t, (<-done).err, "response head exceeds 64 KiB")
}
