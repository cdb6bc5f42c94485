package gatewayprocess_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// evacuationTime is the time in which the servers of a data centre must have ceased to get requests.
const evacuationTime = 2 * time.Second

// startTwoCentres starts two processes and one server in each of two data centres, and returns them when both
// servers get requests.
func startTwoCentres(t *testing.T, sharded bool, change func(configuration string) string) (*fakeStore, []*testProcess, [2]*fakeBackend) {
	s := newFakeStore(t)
	backends := [2]*fakeBackend{newFakeBackend(t, "a"), newFakeBackend(t, "b")}
	backends[1].centre = "y"
	text := change(fmt.Sprintf(configurationFormat, 1))
	if !sharded {
		text = strings.Replace(text, `"sharded":true`, `"sharded":false`, 1)
	}
	s.put("config", "main", text)
	for _, b := range backends {
		b.plain = !sharded
		// Requests take long enough that one server does not serve all of them at once.
		b.work = func(string) time.Duration { return 100 * time.Millisecond }
		s.put("servers", b.id, b.registryEntry("ready"))
	}
	first := startProcess(t, s, "first")
	processes := []*testProcess{first, startProcess(t, s, "second", first.settings.PeerAddress)}
	for _, p := range processes {
		eventually(t, 10*time.Second, "all keys are served", func() bool { return p.servesAllKeys(t.Name()) })
	}
	return s, processes, backends
}

func unchanged(configuration string) string { return configuration }

// Guards against requests to servers of an evacuated data centre, against a gap while its keys move, against a process
// that starts while the store is down and does not know of the evacuation, and against servers that stay out of use.
func TestEvacuation(t *testing.T) {
	t.Parallel()
	for _, sharded := range []bool{true, false} {
		t.Run(fmt.Sprint("sharded ", sharded), func(t *testing.T) {
			t.Parallel()
			s, processes, backends := startTwoCentres(t, sharded, unchanged)
			s.put("evacuations", "y", `{}`)
			begun := time.Now()
			statuses := sendSteadily(t, processes, "/get/x", 20, begun.Add(evacuationTime), begun)
			must.MapLen(t, 1, statuses, must.Sprint(statuses))
			s.setDown(true)
			third := startProcess(t, s, "third", processes[0].settings.PeerAddress)
			eventually(t, 10*time.Second, "the new process serves all keys", func() bool { return third.servesAllKeys(t.Name()) })
			processes = append(processes, third)
			statuses = sendSteadily(t, processes, "/get/x", 20, time.Now().Add(time.Second), begun)
			must.MapLen(t, 1, statuses, must.Sprint(statuses))
			must.Positive(t, statuses[http.StatusOK])
			must.Len(t, 0, backends[1].arrivedIn(begun.Add(evacuationTime), time.Now()))
			s.setDown(false)
			s.remove("evacuations", "y")
			ended := time.Now()
			eventually(t, 20*time.Second, "the server is in use again", func() bool {
				// More requests than the server of the other data centre can run.
				sendSteadily(t, processes, "/get/x", 120, time.Now().Add(500*time.Millisecond), ended)
				return len(backends[1].arrivedIn(ended, time.Now())) > 0
			})
		})
	}
}

// Guards against requests that wait or fail silently when all data centres are evacuated.
func TestEvacuationOfAllCentres(t *testing.T) {
	t.Parallel()
	s, processes, _ := startTwoCentres(t, false, unchanged)
	s.put("evacuations", "x", `{}`)
	s.put("evacuations", "y", `{}`)
	eventually(t, evacuationTime, "requests are refused", func() bool {
		status, _ := processes[0].send("/get/x", fmt.Sprint("refused-", time.Now().UnixNano()), 1)
		return status == http.StatusServiceUnavailable
	})
}

// Guards against a cold server that gets more requests than it bears from all processes together, also when the
// process that allocates its slots ends.
func TestColdServerAcrossProcesses(t *testing.T) {
	t.Parallel()
	const perSecond, allowed = 5, 5*1.5 + 8
	for _, sharded := range []bool{true, false} {
		t.Run(fmt.Sprint("sharded ", sharded), func(t *testing.T) {
			t.Parallel()
			s, processes, backends := startTwoCentres(t, sharded, func(configuration string) string {
				return strings.Replace(configuration, `"warmS":1`, fmt.Sprintf(`"warmS":1,"warmupS":30,"warmupPerS":%d`, perSecond), 1)
			})
			cold := newFakeBackend(t, "cold")
			cold.plain, cold.work, cold.coldMs = !sharded, backends[0].work, 30_000
			s.put("servers", "cold", cold.registryEntry("ready"))
			s.remove("servers", "a")
			begun := time.Now()
			sendSteadily(t, processes, "/get/x", 80, begun.Add(3*time.Second), begun)
			processes[0].stop()
			sendSteadily(t, processes[1:], "/get/x", 80, time.Now().Add(3*time.Second), begun)
			most := cold.maxArrivals(begun, begun, time.Second)
			t.Logf("requests in the worst second: %d of %.1f allowed", most, float64(allowed))
			must.Positive(t, most)
			must.LessEq(t, float64(allowed), float64(most))
		})
	}
}
