package gatewayprocess_test

import (
	"encoding/json"
	"io"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against an explanation that differs from where requests go, or that fails without saying why.
func TestWhere(t *testing.T) {
	t.Parallel()
	for _, sharded := range []bool{true, false} {
		_, processes, _ := startTwoCentres(t, sharded, unchanged)
		ask := func(query string) (int, string) {
			response, err := http.Get("http://" + processes[0].settings.AdminAddress.String() + "/where?" + query)
			must.NoError(t, err)
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			must.NoError(t, err)
			return response.StatusCode, string(body)
		}
		status, body := ask("host=h.example&path=/get/x&key=9&size=100000&left=300ms")
		must.Eq(t, http.StatusOK, status, must.Sprint(body))
		var answer struct {
			Route    string
			Left     int
			Services []struct {
				Sharded bool
				Owner   *struct{ Server string }
				Pools   []struct {
					Centre   string
					Selected bool
				}
			}
		}
		must.NoError(t, json.Unmarshal([]byte(body), &answer))
		must.Eq(t, "get", answer.Route)
		must.Eq(t, 300, answer.Left)
		must.Eq(t, sharded, answer.Services[0].Sharded)
		must.Eq(t, sharded, answer.Services[0].Owner != nil)
		for _, p := range answer.Services[0].Pools {
			must.Eq(t, p.Centre == "x", p.Selected)
		}
		for query, want := range map[string]int{"host=h.example&path=/none": 404, "host=h.example&path=/get/x&key=65536": 400, "host=h.example&path=/get/x&size=-1": 400, "host=h.example&path=/get/x&left=1": 400} {
			status, _ := ask(query)
			must.Eq(t, want, status, must.Sprint(query))
		}
	}
}
