package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	uploads = 4
	// uploadBody is the size of a request, below maxBodyBytes.
	uploadBody = 12 << 20
	// uploadPause is for how long an upstream reads nothing of a request, and uploadWork how long it works then.
	uploadPause = 3500 * time.Millisecond
	uploadWork  = 200 * time.Millisecond
	// stopAfter is when SIGTERM is sent, after the requests.
	stopAfter = 700 * time.Millisecond
	// grace is graceS of the settings, and lastSixth the part of it in which a request at work does not count.
	grace     = 6 * time.Second
	lastSixth = grace / 6
)

// uploadOutcome is what the client and the upstream have seen of a request.
type uploadOutcome struct {
	status       int
	err          error
	begun, ended time.Time
	brokenOff    error
}

// runSlowUpload stops a process as planned while upstreams work on uploads, which they read slowly with trouble. The
// rule is broken if the process breaks a request off at which its upstream is at work.
func runSlowUpload(program, recordPath string, trouble bool) (bool, error) {
	route := map[string]any{"host": "site.example", "pathPrefix": "/dossiers/", "routeType": "upload", "timeoutMs": 15000, "sloMs": 6000, "priority": 0, "service": "intake", "attempts": 2}
	w, err := newWorld(configuration(map[string]any{"r1": route}, map[string]any{"intake": map[string]any{"healthPath": "/healthz", "maxConns": 120}}), trouble, recordPath)
	if err != nil {
		return false, err
	}
	defer w.close()
	w.addRouters(program, memoryMb, 2)
	var mu sync.Mutex
	outcomes := map[string]*uploadOutcome{}
	err = w.addUpstreams(8, &upstream{service: "intake", slots: 6, receiveBuffer: 64 << 10, stream: func(u *upstream, rw http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Bramleystand-Attempt-Id")
		mu.Lock()
		o := outcomes[id]
		o.begun = time.Now()
		mu.Unlock()
		_, err := io.CopyN(io.Discard, r.Body, 16<<10)
		if !trouble {
			_, err = io.Copy(io.Discard, r.Body)
		}
		time.Sleep(uploadPause)
		if trouble {
			_, err = io.Copy(io.Discard, r.Body)
		}
		time.Sleep(uploadWork)
		mu.Lock()
		o.ended, o.brokenOff = time.Now(), err
		mu.Unlock()
		w.record.write("upstream %s has read id=%s: %v", u.id, id, err)
		_, _ = rw.Write([]byte("taken"))
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
	var clients sync.WaitGroup
	for i := range uploads {
		id := fmt.Sprintf("up-%d", i)
		o := &uploadOutcome{}
		outcomes[id] = o
		clients.Go(func() {
			status, err := w.upload(w.routers[0].client, id)
			mu.Lock()
			o.status, o.err = status, err
			mu.Unlock()
		})
	}
	time.Sleep(stopAfter)
	stopped := time.Now()
	w.record.write("SIGTERM to %s", w.routers[0].name)
	if err := w.routers[0].command.Process.Signal(syscall.SIGTERM); err != nil {
		return false, err
	}
	clients.Wait()
	time.Sleep(uploadPause + uploadWork)
	mu.Lock()
	defer mu.Unlock()
	broken := 0
	for id, o := range outcomes {
		// The upstream was at work when the request was broken off, would have ended before the last sixth of the
		// grace, and has not broken off itself.
		counts := !o.begun.IsZero() && o.begun.Before(stopped) && !o.ended.IsZero() && o.ended.Before(stopped.Add(grace-lastSixth)) && o.status != http.StatusOK
		if counts {
			broken++
		}
		w.record.write("result id=%s status=%d client=%v upstream=%v ended %.1f s after SIGTERM, counts=%v", id, o.status, o.err, o.brokenOff, o.ended.Sub(stopped).Seconds(), counts)
		fmt.Printf("%s: status %d (%v), upstream: %v, ended %.1f s after SIGTERM\n", id, o.status, o.err, o.brokenOff, o.ended.Sub(stopped).Seconds())
	}
	return broken > 0, nil
}

// upload sends a request and returns the status of its answer.
func (w *world) upload(address, id string) (int, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	w.record.write("sent id=%s", id)
	go func() {
		_, _ = fmt.Fprintf(c, "POST /dossiers/x HTTP/1.1\r\nHost: site.example\r\nContent-Length: %d\r\nBramleystand-Attempt-Id: %s\r\nBramleystand-Deadline-Ms: 15000\r\n\r\n", uploadBody, id)
		_, _ = c.Write(make([]byte, uploadBody))
	}()
	_ = c.SetReadDeadline(time.Now().Add(15 * time.Second))
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		w.record.write("client of id=%s: %v", id, err)
		return 0, err
	}
	_, err = io.Copy(io.Discard, r.Body)
	w.record.write("answer id=%s status=%d %v", id, r.StatusCode, err)
	return r.StatusCode, err
}
