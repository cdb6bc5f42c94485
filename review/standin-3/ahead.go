package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// aheadClients clients send aheadRequests requests each, one each aheadPause, without waiting for answers.
	aheadClients  = 110
	aheadRequests = 64
	aheadPause    = 90 * time.Millisecond
	// aheadBody is the size of a response, and aheadWork the time that a request takes at its upstream.
	aheadBody = 64_000
	aheadWork = 60 * time.Millisecond
	// aheadDeadline is the time for which clients wait.
	aheadDeadline = 10 * time.Second
	// slowRead is what a slow client reads in slowPause.
	slowRead  = 4 << 10
	slowPause = 100 * time.Millisecond
	// memoryMb is the memory of a machine in the settings.
	memoryMb = "284"
	limitMb  = 284
	// mayBeLost is the number of requests that the rule allows to be lost.
	mayBeLost = 3
)

// aheadCookie is a header field of usual size.
var aheadCookie = strings.Repeat("session=0123456789; ", 100)

// configuration returns a configuration with the limits of the platform's examples.
func configuration(routes, services map[string]any) map[string]any {
	return map[string]any{
		"version": 7, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// aheadState counts the requests of all clients.
type aheadState struct {
	mu       sync.Mutex
	answered map[string]bool
	refused  map[string]bool
	gaveUp   int
}

// runAhead lets clients send idempotent requests ahead and, with trouble, read the answers slowly. The rule is broken
// if the process ends and requests that were passed on are lost.
func runAhead(program, recordPath string, trouble bool) (bool, error) {
	route := map[string]any{"host": "site.example", "pathPrefix": "/tiles/", "routeType": "idempotent", "timeoutMs": 10000, "sloMs": 2500, "priority": 0, "service": "tiles", "attempts": 2}
	w, err := newWorld(configuration(map[string]any{"r1": route}, map[string]any{"tiles": map[string]any{"healthPath": "/healthz", "maxConns": 110}}), trouble, recordPath)
	if err != nil {
		return false, err
	}
	defer w.close()
	w.addRouters(program, memoryMb, 2)
	body := make([]byte, aheadBody)
	err = w.addUpstreams(25, &upstream{service: "tiles", slots: 4, respond: func(_ *upstream, rw http.ResponseWriter, _ *http.Request, _ []byte) {
		time.Sleep(aheadWork)
		_, _ = rw.Write(body)
	}})
	if err != nil {
		return false, err
	}
	for _, p := range w.routers {
		if err := p.start(); err != nil {
			return false, err
		}
	}
	for _, p := range w.routers {
		if !p.awaitReady(20 * time.Second) {
			return false, errors.New("a process is not ready")
		}
	}
	time.Sleep(3 * time.Second)
	state := &aheadState{answered: map[string]bool{}, refused: map[string]bool{}}
	var clients sync.WaitGroup
	for i := range aheadClients {
		clients.Go(func() { w.aheadClient(i, w.routers[0].client, state) })
	}
	done := make(chan struct{})
	go func() { clients.Wait(); close(done) }()
	most, killed := w.watchMemory(w.routers[0], done)
	<-done
	ran, lost := 0, 0
	for _, u := range w.upstreams {
		u.mu.Lock()
		for id := range u.runs {
			ran++
			if !state.answered[id] && !state.refused[id] {
				lost++
			}
		}
		u.mu.Unlock()
	}
	lost -= state.gaveUp
	w.record.write("result killed=%v memoryMb=%.0f ran=%d answered=%d refused=%d lost=%d", killed, most, ran, len(state.answered), len(state.refused), lost)
	fmt.Printf("killed=%v memoryMb=%.0f ran=%d answered=%d refused=%d given-up=%d lost=%d\n", killed, most, ran, len(state.answered), len(state.refused), state.gaveUp, lost)
	return killed && lost > mayBeLost, nil
}

// watchMemory kills the process, as the platform does, when it exceeds its memory. It returns the largest memory.
func (w *world) watchMemory(p *router, done <-chan struct{}) (most float64, killed bool) {
	for {
		m := p.memoryMB()
		if m > most+10 {
			w.record.write("memory of %s: %.0f MB", p.name, m)
		}
		most = max(most, m)
		if m > limitMb {
			w.record.write("the platform kills %s: %.0f MB", p.name, m)
			p.kill()
			return most, true
		}
		select {
		case <-done:
			return most, false
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// aheadClient sends a request and, when that has been answered, further ones ahead on the same connection.
func (w *world) aheadClient(number int, address string, state *aheadState) {
	d := net.Dialer{Timeout: time.Second}
	if w.trouble {
		// The buffers and segments of a link like that of the platform, not of the loopback interface.
		d.Control = func(_, _ string, c syscall.RawConn) error {
			return c.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 32<<10)
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1460)
			})
		}
	}
	c, err := d.Dial("tcp", address)
	if err != nil {
		w.record.write("client %d: %v", number, err)
		return
	}
	defer c.Close()
	in := bufio.NewReader(c)
	send := func(n int) string {
		id := fmt.Sprintf("c%d-%d", number, n)
		w.record.write("sent id=%s", id)
		_, _ = fmt.Fprintf(c, "GET /tiles/%d HTTP/1.1\r\nHost: site.example\r\nBramleystand-Attempt-Id: %s\r\nBramleystand-Deadline-Ms: %d\r\nCookie: %s\r\n\r\n", n, id, aheadDeadline.Milliseconds(), aheadCookie)
		return id
	}
	receive := func(id string, from *bufio.Reader) error {
		r, err := http.ReadResponse(from, nil)
		if err != nil {
			return err
		}
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			return err
		}
		w.record.write("answer id=%s status=%d bytes=%d", id, r.StatusCode, n)
		state.mu.Lock()
		defer state.mu.Unlock()
		if r.StatusCode == http.StatusOK {
			state.answered[id] = true
		} else {
			state.refused[id] = true
		}
		return nil
	}
	if err := receive(send(0), in); err != nil {
		w.record.write("client %d: %v", number, err)
		return
	}
	ids := make(chan string, aheadRequests)
	go func() {
		defer close(ids)
		for n := 1; n <= aheadRequests; n++ {
			ids <- send(n)
			time.Sleep(aheadPause)
		}
	}()
	end := time.Now().Add(aheadDeadline)
	_ = c.SetReadDeadline(end)
	if w.trouble {
		in = bufio.NewReaderSize(&slowReader{c}, slowRead)
	}
	for id := range ids {
		if err := receive(id, in); err != nil {
			var timeout net.Error
			if errors.As(err, &timeout) && timeout.Timeout() {
				// The client leaves at its deadline, so what it has not got is not lost by the process.
				w.record.write("client %d leaves", number)
				state.mu.Lock()
				state.gaveUp += aheadRequests
				state.mu.Unlock()
				return
			}
			w.record.write("client %d: connection ended before the answer to %s: %v", number, id, err)
			return
		}
	}
}

// slowReader reads a little at a time.
type slowReader struct{ inner io.Reader }

// Read implements io.Reader.
func (s *slowReader) Read(b []byte) (int, error) {
	time.Sleep(slowPause)
	return s.inner.Read(b[:min(len(b), slowRead)])
}
