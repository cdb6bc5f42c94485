package gatewayprocess_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// aheadClient sends requests on one connection at intervals without waiting for the responses.
type aheadClient struct {
	process  *testProcess
	name     string
	interval time.Duration
	// statuses has the statuses of the responses by the identifiers of the requests.
	statuses map[string]int
	// closed is when a response has closed the connection; zero if none has.
	closed time.Time
}

// run sends requests until a response closes the connection or the connection ends.
func (c *aheadClient) run() {
	conn, err := net.Dial("tcp", c.process.settings.ClientAddress.String())
	if err != nil {
		return
	}
	defer conn.Close()
	sent, ended := make(chan string, 4096), make(chan struct{})
	var sender sync.WaitGroup
	sender.Go(func() {
		defer close(sent)
		for n := 0; ; n++ {
			id := fmt.Sprint(c.name, "-", n)
			if _, err := fmt.Fprintf(conn, "GET /get/x HTTP/1.1\r\nHost: h.example\r\nBramleystand-Attempt-Id: %s\r\nBramleystand-Deadline-Ms: 60000\r\nBramleystand-Shard-Key: %d\r\n\r\n", id, n*9973%65536); err != nil {
				return
			}
			sent <- id
			select {
			case <-ended:
				return
			case <-time.After(c.interval):
			}
		}
	})
	reader := bufio.NewReader(conn)
	for id := range sent {
		response, err := http.ReadResponse(reader, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		if err != nil {
			break
		}
		c.statuses[id] = response.StatusCode
		if response.Close {
			c.closed = time.Now()
			break
		}
	}
	close(ended)
	sender.Wait()
}

// Guards against clients that always have a request under way and are never told to leave a process that stops, and
// against requests that a server has run and that get no response because an earlier one closes the connection.
func TestStopWithRequestsAhead(t *testing.T) {
	t.Parallel()
	s := newFakeStore(t)
	a := newFakeBackend(t, "a")
	const work = 400 * time.Millisecond
	a.work = func(id string) time.Duration {
		if strings.HasPrefix(id, "ahead") {
			return work
		}
		return 0
	}
	s.put("config", "main", fmt.Sprintf(configurationFormat, 1))
	s.put("servers", "a", strings.Replace(a.registryEntry("ready"), `"maxConcurrency":4`, `"maxConcurrency":64`, 1))
	p := startProcess(t, s, "only")
	eventually(t, 10*time.Second, "all keys are served", func() bool { return p.servesAllKeys("before") })
	var clients []*aheadClient
	var group sync.WaitGroup
	for _, underWay := range []time.Duration{2, 6, 12} {
		c := &aheadClient{process: p, name: fmt.Sprint("ahead-", int(underWay)), interval: work / underWay, statuses: make(map[string]int)}
		clients = append(clients, c)
		group.Go(c.run)
	}
	<-time.After(3 * work)
	stopped := time.Now()
	p.stop()
	group.Wait()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range clients {
		t.Logf("%s: closed after %s, %d answered", c.name, c.closed.Sub(stopped).Round(time.Millisecond), len(c.statuses))
		must.False(t, c.closed.IsZero(), must.Sprint(c.name, ": no response closes the connection"))
		must.Less(t, 2*work, c.closed.Sub(stopped), must.Sprint(c.name))
		for id, status := range c.statuses {
			must.Eq(t, http.StatusOK, status, must.Sprint(id))
		}
	}
	answered := 0
	for _, c := range clients {
		answered += len(c.statuses)
	}
	ran := 0
	for id := range a.executions {
		if strings.HasPrefix(id, "ahead") {
			ran++
		}
	}
	must.Eq(t, answered, ran, must.Sprint("requests have run and got no response"))
}
