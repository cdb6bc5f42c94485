package gatewayprocess_test

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// stopSeed selects the course of TestStopSoak.
var stopSeed = flag.Uint64("stop.seed", 1, "seed of TestStopSoak")

const (
	// soakStop is the stop timeout.
	soakStop = 6 * time.Second
	// excusedTime is how long after the stop a request may be sent that is broken off in the last sixth of the stop
	// timeout.
	excusedTime = 3 * time.Second
)

// sentRequest is what a client has seen of a request. Its status is zero without a whole response.
type sentRequest struct {
	id string
	// begun and sent are when the first and the last byte were sent.
	begun, sent, answered time.Time
	deadline              time.Duration
	status                int
}

// stopSoakClient sends requests until the process accepts no connection.
type stopSoakClient struct {
	process *testProcess
	name    string
	random  *rand.Rand
	// ahead is true if requests are sent ahead, and kept if connections are kept.
	ahead, kept bool
	// path is the path of the requests, and pause the time before each part of a body.
	path     string
	pause    time.Duration
	requests []*sentRequest
}

// run sends requests over one connection after the other.
func (c *stopSoakClient) run() {
	for {
		conn, err := net.Dial("tcp", c.process.settings.ClientAddress.String())
		if err != nil {
			return
		}
		sent, ended := make(chan *sentRequest, 4096), make(chan struct{})
		var sender sync.WaitGroup
		sender.Go(func() {
			defer close(sent)
			c.send(conn, sent, ended)
		})
		reader := bufio.NewReader(conn)
		for r := range sent {
			if !r.receive(reader) {
				break
			}
			if !c.ahead {
				ended <- struct{}{}
			}
		}
		close(ended)
		_ = conn.Close()
		sender.Wait()
	}
}

// send sends requests on a connection. Without ahead, ended receives a value for each response that leaves the
// connection open; it is closed when the connection ends.
func (c *stopSoakClient) send(conn net.Conn, sent chan<- *sentRequest, ended <-chan struct{}) {
	for {
		// One request in ten takes longer than others have taken.
		work := 50 + c.random.IntN(350)
		if c.random.IntN(10) == 0 {
			work = 1000 + c.random.IntN(2000)
		}
		r := &sentRequest{id: fmt.Sprintf("%s-%d-%d", c.name, len(c.requests), work), deadline: []time.Duration{time.Second, 3 * time.Second, time.Minute}[c.random.IntN(3)]}
		c.requests = append(c.requests, r)
		if err := c.write(conn, r); err != nil {
			return
		}
		sent <- r
		if !c.ahead {
			if _, open := <-ended; !open || !c.kept {
				return
			}
			continue
		}
		select {
		case <-ended:
			return
		case <-time.After(time.Duration(50+c.random.IntN(100)) * time.Millisecond):
		}
	}
}

// write writes a request whose body arrives in four parts.
func (c *stopSoakClient) write(conn net.Conn, r *sentRequest) error {
	method, part := http.MethodGet, ""
	if !c.ahead {
		method, part = http.MethodPost, "sixteen bytes..."
	}
	r.begun = time.Now()
	_, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: h.example\r\nBramleystand-Attempt-Id: %s\r\nBramleystand-Deadline-Ms: %d\r\nBramleystand-Shard-Key: %d\r\nContent-Length: %d\r\n\r\n",
		method, c.path, r.id, r.deadline.Milliseconds(), c.random.IntN(65536), 4*len(part))
	for range 4 {
		if err != nil || part == "" {
			break
		}
		<-time.After(c.pause)
		_, err = io.WriteString(conn, part)
	}
	r.sent = time.Now()
	return err
}

// receive reads the response and reports whether the connection stays open.
func (r *sentRequest) receive(reader *bufio.Reader) bool {
	response, err := http.ReadResponse(reader, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	if err != nil {
		return false
	}
	r.answered, r.status = time.Now(), response.StatusCode
	return !response.Close
}

// Guards against requests that a stopping process breaks off although they came too late to be excused, that run and are
// refused or run twice, and that run and get no answer, with clients that use their connections until it is gone.
func TestStopSoak(t *testing.T) {
	t.Parallel()
	t.Log("seed ", *stopSeed)
	random := rand.New(rand.NewPCG(*stopSeed, 0))
	s := newFakeStore(t)
	s.put("config", "main", strings.ReplaceAll(fmt.Sprintf(configurationFormat, 1), `"timeoutMs":2000`, `"timeoutMs":60000`))
	var servers []*fakeBackend
	for _, id := range []string{"a", "b", "c"} {
		b := newFakeBackend(t, id)
		b.work = func(id string) time.Duration {
			if !strings.HasPrefix(id, "soak") {
				return 0
			}
			ms, _ := strconv.Atoi(id[strings.LastIndex(id, "-")+1:])
			return time.Duration(ms) * time.Millisecond
		}
		s.put("servers", id, strings.Replace(b.registryEntry("ready"), `"maxConcurrency":4`, `"maxConcurrency":24`, 1))
		servers = append(servers, b)
	}
	p := startProcessWithStop(t, soakStop, s.address, "only")
	eventually(t, 20*time.Second, "all keys are served", func() bool { return p.servesAllKeys("0") })
	var clients []*stopSoakClient
	var group sync.WaitGroup
	for i := range 12 {
		c := &stopSoakClient{process: p, name: fmt.Sprint("soak", i), random: rand.New(rand.NewPCG(*stopSeed, uint64(i+1))), path: "/get/x", ahead: i%2 == 0, kept: random.IntN(2) == 0}
		if !c.ahead {
			c.path = []string{"/get/x", "/final/x"}[random.IntN(2)]
			c.pause = time.Duration(random.IntN(2)*random.IntN(300)) * time.Millisecond
		}
		clients = append(clients, c)
		group.Go(c.run)
	}
	<-time.After(time.Duration(500+random.IntN(1500)) * time.Millisecond)
	// Without the store the process can't resign and accepts connections for longer.
	outage := random.IntN(2) == 0
	s.setDown(outage)
	stopped := time.Now()
	p.stop()
	group.Wait()
	executions := make(map[string]int)
	for _, b := range servers {
		b.mu.Lock()
		for id, n := range b.executions {
			executions[id] += n
		}
		b.mu.Unlock()
	}
	statuses := make(map[int]int)
	for _, c := range clients {
		for _, r := range c.requests {
			statuses[r.status]++
			at := fmt.Sprintf("%s: sent %s after the stop, status %d at %s, ran %d times", r.id, r.sent.Sub(stopped), r.status, r.answered.Sub(stopped), executions[r.id])
			switch {
			case executions[r.id] == 0:
				continue
			case r.status == 0, r.status == http.StatusServiceUnavailable, r.status == http.StatusRequestTimeout:
				t.Error("no answer or a refusal of a request that has run: ", at)
			case c.path == "/final/x" && executions[r.id] > 1:
				t.Error("a final request has run twice: ", at)
			case r.status != http.StatusOK && r.answered.Sub(r.begun) < r.deadline*9/10 && (r.sent.Sub(stopped) > excusedTime || r.answered.Sub(stopped) < soakStop*5/6):
				t.Error("a request at its server was broken off: ", at)
			}
		}
	}
	t.Logf("outage %t, responses: %v", outage, statuses)
	must.Positive(t, statuses[http.StatusOK])
}
