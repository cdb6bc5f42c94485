package responder_test

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"bramleystand.org/replay/internal/responder"
)

// Guards against an address without a response, which would be measured as a failed
// server.
func TestResponds(t *testing.T) {
	r, err := responder.Start(3)
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, r.Close()) })
	for _, a := range r.Addresses() {
		response, err := http.Get("http://" + a.String() + "/probe")
		must.NoError(t, err)
		must.NoError(t, response.Body.Close())
		must.Eq(t, http.StatusOK, response.StatusCode)
	}
	must.EqOp(t, 3, r.Requests())
}
