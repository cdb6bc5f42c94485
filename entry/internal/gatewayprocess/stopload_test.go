package gatewayprocess_test

import (
	"bufio"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// stopClient sends requests over its own connections until the process accepts none.
type stopClient struct {
	process *testProcess
	name    string
	path    string
	// deadline is the time that each request may take.
	deadline time.Duration
	// pause is the time after a refusal before the next request.
	pause time.Duration
	// cut has the identifiers of the requests that were written whole and got no whole response.
	cut      []string
	answered int
	// statuses counts the responses, and lost has the identifiers of the requests with 504.
	statuses map[int]int
	lost     []string
}

func newStopClient(p *testProcess, name, path string, deadline time.Duration) *stopClient {
	return &stopClient{process: p, name: name, path: path, deadline: deadline, statuses: make(map[int]int)}
}

// run sends requests. A kept connection carries one request after the other; otherwise each has its own.
func (c *stopClient) run(keep bool) {
	for n := 0; ; {
		conn, err := net.Dial("tcp", c.process.settings.ClientAddress.String())
		if err != nil {
			return
		}
		reader := bufio.NewReader(conn)
		for open := true; open; n++ {
			id := fmt.Sprint(c.name, "-", n)
			request := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nBramleystand-Attempt-Id: %s\r\nBramleystand-Deadline-Ms: %d\r\nBramleystand-Shard-Key: %d\r\nContent-Length: 4\r\n\r\nbody", c.path, id, c.deadline.Milliseconds(), n*9973%65536)
			if _, err := io.WriteString(conn, request); err != nil {
				break
			}
			response, err := http.ReadResponse(reader, nil)
			if err == nil {
				_, err = io.Copy(io.Discard, response.Body)
			}
			if err != nil {
				c.cut = append(c.cut, id)
				break
			}
			c.answered++
			c.statuses[response.StatusCode]++
			if response.StatusCode == http.StatusGatewayTimeout {
				c.lost = append(c.lost, id)
			}
			if response.StatusCode == http.StatusServiceUnavailable {
				<-time.After(c.pause)
			}
			open = keep && !response.Close
		}
		_ = conn.Close()
	}
}

// Guards against requests that reach a server and end without an answer, because the process that took them
// stops under load while clients keep their connections open.
func TestStopUnderLoad(t *testing.T) {
	t.Parallel()
	s := newFakeStore(t)
	a := newFakeBackend(t, "a")
	s.put("config", "main", fmt.Sprintf(configurationFormat, 1))
	s.put("servers", "a", a.registryEntry("ready"))
	p := startProcess(t, s, "only")
	eventually(t, 10*time.Second, "all keys are served", func() bool { return p.servesAllKeys("before") })
	var clients []*stopClient
	var group sync.WaitGroup
	for i := range 8 {
		c := newStopClient(p, fmt.Sprint("client-", i), "/final/x", 1500*time.Millisecond)
		clients = append(clients, c)
		group.Go(func() { c.run(i%2 == 0) })
	}
	time.AfterFunc(500*time.Millisecond, p.stop)
	group.Wait()
	a.mu.Lock()
	defer a.mu.Unlock()
	answered, cut := 0, 0
	var ran []string
	for _, c := range clients {
		answered += c.answered
		cut += len(c.cut)
		for _, id := range c.cut {
			if a.executions[id] > 0 {
				ran = append(ran, id)
			}
		}
	}
	t.Logf("%d answered, %d cut off without an answer, of these %d had run", answered, cut, len(ran))
	must.Greater(t, 1000, answered)
	must.SliceEmpty(t, ran)
}

// Guards against requests that a stopping process takes so late that it gives them up at the end of its grace,
// although their servers need no longer than usual.
func TestLongRequestsBeforeStop(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/final/x", "/get/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			s := newFakeStore(t)
			a := newFakeBackend(t, "a")
			// One request in ten takes twice as long as the others.
			a.work = func(id string) time.Duration {
				if crc32.ChecksumIEEE([]byte(id))%10 == 0 {
					return 1300 * time.Millisecond
				}
				return 650 * time.Millisecond
			}
			s.put("config", "main", fmt.Sprintf(configurationFormat, 1))
			s.put("servers", "a", strings.Replace(a.registryEntry("ready"), `"maxConcurrency":4`, `"maxConcurrency":64`, 1))
			p := startProcessWithStop(t, 3*time.Second, s.address, "only")
			eventually(t, 10*time.Second, "all keys are served", func() bool { return p.servesAllKeys("before") })
			var clients []*stopClient
			var group sync.WaitGroup
			for i := range 40 {
				c := newStopClient(p, fmt.Sprint("client-", i, path[:4]), path, 5*time.Second)
				c.pause = 50 * time.Millisecond
				clients = append(clients, c)
				group.Go(func() { c.run(i%2 == 0) })
			}
			time.AfterFunc(3*time.Second, p.stop)
			group.Wait()
			statuses := make(map[int]int)
			var cut, lost []string
			for _, c := range clients {
				for status, n := range c.statuses {
					statuses[status] += n
				}
				lost = append(lost, c.lost...)
				cut = append(cut, c.cut...)
			}
			a.mu.Lock()
			defer a.mu.Unlock()
			cut = slices.DeleteFunc(cut, func(id string) bool { return a.executions[id] == 0 })
			t.Logf("responses: %v", statuses)
			must.Greater(t, 2*len(clients), statuses[http.StatusOK])
			must.SliceEmpty(t, lost)
			must.SliceEmpty(t, cut)
		})
	}
}

// Guards against requests that come to a stopping process when the balancer sends none any more, and that it breaks off
// at its end because their servers take longer than usual.
func TestLateRequestsBeforeStop(t *testing.T) {
	t.Parallel()
	s := newFakeStore(t)
	a := newFakeBackend(t, "a")
	a.work = func(id string) time.Duration {
		if strings.HasPrefix(id, "long-") {
			return 2500 * time.Millisecond
		}
		return 0
	}
	s.put("config", "main", strings.ReplaceAll(fmt.Sprintf(configurationFormat, 1), `"timeoutMs":2000`, `"timeoutMs":60000`))
	s.put("servers", "a", strings.Replace(a.registryEntry("ready"), `"maxConcurrency":4`, `"maxConcurrency":64`, 1))
	p := startProcess(t, s, "only")
	eventually(t, 10*time.Second, "all keys are served", func() bool { return p.servesAllKeys("before") })
	// The process can't resign without the store, so it accepts connections for longer than the balancer sends any.
	s.setDown(true)
	p.stop()
	<-time.After(2800 * time.Millisecond)
	statuses := make(map[string]int)
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, path := range []string{"/get/x", "/final/x"} {
		for name, left := range map[string]time.Duration{"long-endless": time.Minute, "long-ending": 1500 * time.Millisecond, "short-ending": 1500 * time.Millisecond} {
			group.Go(func() {
				status, _ := p.sendWithin(left, path, name+path, 1)
				mu.Lock()
				defer mu.Unlock()
				statuses[name+path] = status
			})
		}
	}
	group.Wait()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, path := range []string{"/get/x", "/final/x"} {
		// The long request may be broken off and is refused; the other two end by their deadline, whatever the server does.
		must.Eq(t, http.StatusServiceUnavailable, statuses["long-endless"+path])
		must.Eq(t, 0, a.executions["long-endless"+path])
		must.Eq(t, http.StatusGatewayTimeout, statuses["long-ending"+path])
		must.Eq(t, http.StatusOK, statuses["short-ending"+path])
	}
}
