package gatewayprocess_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// stopClient sends requests over its own connections until the process accepts none.
type stopClient struct {
	process *testProcess
	name    string
	// cut has the identifiers of the requests that were written whole and got no whole response.
	cut      []string
	answered int
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
			request := fmt.Sprintf("POST /final/x HTTP/1.1\r\nHost: h.example\r\nBramleystand-Attempt-Id: %s\r\nBramleystand-Deadline-Ms: 1500\r\nBramleystand-Shard-Key: %d\r\nContent-Length: 4\r\n\r\nbody", id, n*9973%65536)
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
		c := &stopClient{process: p, name: fmt.Sprint("client-", i)}
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
