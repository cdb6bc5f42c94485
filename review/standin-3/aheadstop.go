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
	stopClients = 4
	// stopPause is the time between two requests of a client, and stopWork what they take at their upstream.
	stopPause = 150 * time.Millisecond
	stopWork  = 420 * time.Millisecond
	// longWork is what the long requests take, one of each client. It is below the time-out of the route.
	longWork = 2600 * time.Millisecond
	// calmTime is how long the clients send before SIGTERM; longAfter is when they send the long requests after it, and
	// sendAfter until when they send at all.
	calmTime  = 8 * time.Second
	longAfter = 3400 * time.Millisecond
	sendAfter = 4 * time.Second
	// excusedUntil is until when after SIGTERM a request may be sent that is broken off in the last sixth of the grace.
	excusedUntil = 3 * time.Second
)

// stopRequest is what a client and an upstream have seen of a request.
type stopRequest struct {
	sent, ranAt, answeredAt time.Time
	status                  int
	err                     error
}

// runAheadStop stops a process, as planned, to which clients send requests ahead on kept connections. The rule is broken
// if it breaks off a request that was sent later than excusedUntil, while the upstream is at work on it.
func runAheadStop(program, recordPath string, trouble bool) (bool, error) {
	route := map[string]any{"host": "site.example", "pathPrefix": "/records/", "routeType": "idempotent", "timeoutMs": 3000, "sloMs": 1500, "priority": 0, "service": "registry", "attempts": 2}
	w, err := newWorld(configuration(map[string]any{"r1": route}, map[string]any{"registry": map[string]any{"healthPath": "/healthz", "maxConns": 120}}), trouble, recordPath)
	if err != nil {
		return false, err
	}
	defer w.close()
	w.addRouters(program, memoryMb, 2)
	var mu sync.Mutex
	requests := map[string]*stopRequest{}
	err = w.addUpstreams(6, &upstream{service: "registry", slots: 6, respond: func(u *upstream, rw http.ResponseWriter, r *http.Request, _ []byte) {
		id := r.Header.Get("Bramleystand-Attempt-Id")
		mu.Lock()
		requests[id].ranAt = time.Now()
		mu.Unlock()
		work := stopWork
		if strings.HasSuffix(r.URL.Path, "/long") {
			work = longWork
		}
		select {
		case <-time.After(work):
		case <-r.Context().Done():
			w.record.write("upstream %s: connection of id=%s ended while it was at work", u.id, id)
			return
		}
		_, _ = rw.Write([]byte("record"))
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
	time.Sleep(4 * time.Second)
	stop := time.Now().Add(calmTime)
	var clients sync.WaitGroup
	for i := range stopClients {
		clients.Go(func() { w.stopClient(i, w.routers[0].client, stop, &mu, requests) })
	}
	time.Sleep(time.Until(stop))
	if trouble {
		w.record.write("SIGTERM to %s", w.routers[0].name)
		if err := w.routers[0].command.Process.Signal(syscall.SIGTERM); err != nil {
			return false, err
		}
	}
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	broken := 0
	for id, r := range requests {
		late := r.sent.After(stop.Add(excusedUntil))
		brokenOff := !r.ranAt.IsZero() && r.status != http.StatusOK && r.answeredAt.Sub(r.sent) < 2900*time.Millisecond
		if late && brokenOff {
			broken++
			w.record.write("result id=%s sent %.2f s after SIGTERM, at work from %.2f s, status %d (%v) at %.2f s", id, r.sent.Sub(stop).Seconds(), r.ranAt.Sub(stop).Seconds(), r.status, r.err, r.answeredAt.Sub(stop).Seconds())
			fmt.Printf("%s sent %.2f s after SIGTERM, at work from %.2f s, status %d (%v) at %.2f s\n", id, r.sent.Sub(stop).Seconds(), r.ranAt.Sub(stop).Seconds(), r.status, r.err, r.answeredAt.Sub(stop).Seconds())
		}
	}
	fmt.Printf("%d requests, %d broken off\n", len(requests), broken)
	return broken > 0, nil
}

// stopClient sends requests on one connection without waiting for the answers, until sendAfter after the stop or a
// response that closes the connection.
func (w *world) stopClient(number int, address string, stop time.Time, mu *sync.Mutex, requests map[string]*stopRequest) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		w.record.write("client %d: %v", number, err)
		return
	}
	defer c.Close()
	closed := make(chan struct{})
	ids := make(chan string, 256)
	go func() {
		defer close(ids)
		long := false
		for n := 0; time.Now().Before(stop.Add(sendAfter)); n++ {
			path := "/records/usual"
			if !long && time.Now().After(stop.Add(longAfter)) {
				long, path = true, "/records/long"
			}
			id := fmt.Sprintf("s%d-%d", number, n)
			mu.Lock()
			requests[id] = &stopRequest{sent: time.Now()}
			mu.Unlock()
			w.record.write("sent id=%s %s", id, path)
			if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: site.example\r\nBramleystand-Attempt-Id: %s\r\nBramleystand-Deadline-Ms: 6000\r\n\r\n", path, id); err != nil {
				return
			}
			ids <- id
			select {
			case <-closed:
				return
			case <-time.After(stopPause):
			}
		}
	}()
	in := bufio.NewReader(c)
	for id := range ids {
		_ = c.SetReadDeadline(time.Now().Add(6 * time.Second))
		r, err := http.ReadResponse(in, nil)
		status := 0
		if err == nil {
			_, err = io.Copy(io.Discard, r.Body)
			status = r.StatusCode
		}
		mu.Lock()
		requests[id].answeredAt, requests[id].status, requests[id].err = time.Now(), status, err
		mu.Unlock()
		w.record.write("answer id=%s status=%d %v", id, status, err)
		if err != nil || r.Close {
			close(closed)
			return
		}
	}
}
