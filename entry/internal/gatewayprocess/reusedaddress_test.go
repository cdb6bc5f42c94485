package gatewayprocess_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against requests for a server that has ended which go on, and go twice, to the server of another service
// that has its address, while the store can't tell that.
func TestReusedAddressInOutage(t *testing.T) {
	t.Parallel()
	for name, sharded := range map[string]bool{"sharded": true, "not sharded": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFakeStore(t)
			ended := newFakeBackendAt(t, "ended", 1, unusedAddress(t), nil)
			sound := newFakeBackend(t, "sound")
			ended.plain, sound.plain = !sharded, !sharded
			s.put("config", "main", fmt.Sprintf(strings.Replace(configurationFormat, `"sharded":true`, fmt.Sprintf(`"sharded":%t`, sharded), 1), 1))
			s.put("servers", "ended", ended.registryEntry("ready"))
			s.put("servers", "sound", sound.registryEntry("ready"))
			p := startProcess(t, s, "only")
			eventually(t, 10*time.Second, "both servers are used", func() bool {
				return p.servesAllKeys("before") && (!sharded || ended.heldKeys(testKeys) > 0 && sound.heldKeys(testKeys) > 0)
			})
			held := make(map[int]bool)
			for _, k := range testKeys {
				held[k] = sharded && ended.heldKeys([]int{k}) == 1
			}
			s.setDown(true)
			ended.end(t)
			other := newFakeBackendAt(t, "other", 2, ended.address, nil)
			served := make(map[int]int)
			const rounds = 10
			for round := range rounds {
				for _, k := range testKeys {
					status, _ := p.sendWithin(time.Second, "/final/x", fmt.Sprintf("outage-%d-%d", round, k), k)
					if status == http.StatusOK {
						served[k]++
					} else {
						must.Eq(t, http.StatusServiceUnavailable, status)
					}
				}
			}
			other.mu.Lock()
			arrivals := len(other.arrivals)
			other.mu.Unlock()
			must.LessEq(t, 1, arrivals, must.Sprint("requests at the server of the other service"))
			for _, k := range testKeys {
				must.True(t, held[k] || served[k] == rounds, must.Sprintf("key %d of the other server served %d times", k, served[k]))
			}
			s.setDown(false)
			s.remove("servers", "ended")
			eventually(t, 10*time.Second, "all keys are served after the outage", func() bool { return p.servesAllKeys("after") })
		})
	}
}
