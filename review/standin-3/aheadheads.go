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
	"time"
)

const (
	// headsClients clients send headsRequests requests each, one each headsPause, without waiting for answers.
	headsClients  = 80
	headsRequests = 64
	headsPause    = 65 * time.Millisecond
	// headsFirst is what the first of them takes at its upstream, and headsWork what the others take.
	headsFirst    = 4500 * time.Millisecond
	headsWork     = 20 * time.Millisecond
	headsDeadline = 10 * time.Second
	// headsFields is the number of short fields in a head, which has less than 4 KiB.
	headsFields = 630
)

// runAheadHeads lets clients send idempotent requests ahead, with trouble with heads of many short fields. The rule is
// broken if the process ends and requests that were passed on are lost.
func runAheadHeads(program, recordPath string, trouble bool) (bool, error) {
	route := map[string]any{"host": "site.example", "pathPrefix": "/records/", "routeType": "idempotent", "timeoutMs": 5000, "sloMs": 2500, "priority": 0, "service": "registry", "attempts": 2}
	w, err := newWorld(configuration(map[string]any{"r1": route}, map[string]any{"registry": map[string]any{"healthPath": "/healthz", "maxConns": 120}}), trouble, recordPath)
	if err != nil {
		return false, err
	}
	defer w.close()
	w.addRouters(program, memoryMb, 2)
	err = w.addUpstreams(30, &upstream{service: "registry", slots: 6, respond: func(_ *upstream, rw http.ResponseWriter, r *http.Request, _ []byte) {
		if r.URL.Path == "/records/first" {
			time.Sleep(headsFirst)
		} else {
			time.Sleep(headsWork)
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
	time.Sleep(3 * time.Second)
	state := &aheadState{answered: map[string]bool{}, refused: map[string]bool{}}
	var clients sync.WaitGroup
	for i := range headsClients {
		clients.Go(func() { w.headsClient(i, w.routers[0].client, state) })
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
	w.record.write("result killed=%v memoryMb=%.0f ran=%d answered=%d refused=%d lost=%d", killed, most, ran, len(state.answered), len(state.refused), lost)
	fmt.Printf("killed=%v memoryMb=%.0f ran=%d answered=%d refused=%d lost=%d\n", killed, most, ran, len(state.answered), len(state.refused), lost)
	return killed && lost > mayBeLost, nil
}

// headsClient sends a request and, when that has been answered, further ones ahead on the same connection.
func (w *world) headsClient(number int, address string, state *aheadState) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		w.record.write("client %d: %v", number, err)
		return
	}
	defer c.Close()
	var fields strings.Builder
	if w.trouble {
		for i := range headsFields {
			fmt.Fprintf(&fields, "x%c%c:\r\n", 'a'+i/26, 'a'+i%26)
		}
	}
	send := func(n int, path string) string {
		id := fmt.Sprintf("h%d-%d", number, n)
		w.record.write("sent id=%s %s", id, path)
		_, _ = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: site.example\r\nBramleystand-Attempt-Id: %s\r\nBramleystand-Deadline-Ms: %d\r\n%s\r\n", path, id, headsDeadline.Milliseconds(), fields.String())
		return id
	}
	in := bufio.NewReader(c)
	receive := func(id string) error {
		_ = c.SetReadDeadline(time.Now().Add(headsDeadline))
		r, err := http.ReadResponse(in, nil)
		if err != nil {
			return err
		}
		if _, err = io.Copy(io.Discard, r.Body); err != nil {
			return err
		}
		w.record.write("answer id=%s status=%d", id, r.StatusCode)
		state.mu.Lock()
		defer state.mu.Unlock()
		if r.StatusCode == http.StatusOK {
			state.answered[id] = true
		} else {
			state.refused[id] = true
		}
		return nil
	}
	if err := receive(send(0, "/records/usual")); err != nil {
		w.record.write("client %d: %v", number, err)
		return
	}
	ids := make(chan string, headsRequests)
	go func() {
		defer close(ids)
		path := "/records/first"
		for n := 1; n <= headsRequests; n++ {
			ids <- send(n, path)
			path = "/records/usual"
			time.Sleep(headsPause)
		}
	}()
	for id := range ids {
		if err := receive(id); err != nil {
			w.record.write("client %d: connection ended before the answer to %s: %v", number, id, err)
			return
		}
	}
}
