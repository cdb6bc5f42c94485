package gatewayprocess_test

import (
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// crashingServer is a server that starts again, as a new instance at its address, after each request that
// crashes it.
type crashingServer struct {
	store   *fakeStore
	address netip.AddrPort
	current *fakeBackend
	starts  int
}

func (c *crashingServer) start(t *testing.T) {
	if c.current != nil {
		c.store.remove("servers", c.current.id)
	}
	c.starts++
	b := newFakeBackendAt(t, fmt.Sprint("life-", c.starts), int64(c.starts), c.address, nil)
	b.plain = true
	b.work = func(id string) time.Duration {
		if id == "crashing" {
			_ = b.server.Close()
		}
		return 0
	}
	c.current = b
	c.store.put("servers", b.id, b.registryEntry("ready"))
}

// crash sends the request that crashes the server through a process, and reports whether it reached the server.
func (c *crashingServer) crash(t *testing.T, p *testProcess) bool {
	eventually(t, 10*time.Second, "the server is in use", func() bool {
		status, _ := p.send("/get/x", fmt.Sprint(p.settings.Name, "-", c.current.id), 1)
		return status == http.StatusOK
	})
	status, _ := p.send("/get/x", "crashing", 1)
	c.current.mu.Lock()
	reached := c.current.executions["crashing"] > 0
	c.current.mu.Unlock()
	if !reached {
		must.Eq(t, http.StatusServiceUnavailable, status)
		return false
	}
	c.start(t)
	return true
}

// Guards against a request that goes on crashing servers because the crashes that were counted are lost with
// the coordinator, or with all processes.
func TestCrashingRequestAfterRestartOfCoordinator(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		// stays is true if the second process runs beside the first, and first is the one that sees the first
		// two crashes.
		stays bool
		first int
	}{
		"seen by the coordinator, which is replaced":   {true, 0},
		"seen by another process, coordinator changes": {true, 1},
		"all processes are replaced":                   {false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFakeStore(t)
			s.put("config", "main", fmt.Sprintf(strings.Replace(configurationFormat, `"sharded":true`, `"sharded":false`, 1), 1))
			server := &crashingServer{store: s, address: unusedAddress(t)}
			server.start(t)
			processes := []*testProcess{startProcess(t, s, "first")}
			eventually(t, 10*time.Second, "the first process coordinates", func() bool { return processes[0].logs.logged("coordinator") })
			if c.stays {
				processes = append(processes, startProcess(t, s, "second", processes[0].settings.PeerAddress))
			}
			for range 2 {
				must.True(t, server.crash(t, processes[c.first]))
			}
			processes[0].stop()
			eventually(t, 10*time.Second, "the first process stops", func() bool { return processes[0].logs.logged("stopped") })
			successor := startProcess(t, s, "successor")
			if c.stays {
				successor = processes[1]
			}
			eventually(t, 10*time.Second, "another process coordinates", func() bool { return successor.logs.logged("coordinator") })
			must.True(t, server.crash(t, successor), must.Sprint("third arrival"))
			eventually(t, 10*time.Second, "the request is refused", func() bool { return server.starts > 10 || !server.crash(t, successor) })
			must.LessEq(t, 4, server.starts-1, must.Sprint("crashes; three block the request, and one more may pass meanwhile"))
		})
	}
}
