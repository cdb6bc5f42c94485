package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// grant is a range of keys that an upstream holds.
type grant struct {
	From, Target uint64
	Fence        uint64
	HoldMs       int64
	Handover     string
	until        time.Time
}

// upstream is a backend server of the platform's users.
type upstream struct {
	id, service, zone string
	address           string
	born              int64
	slots             int
	store             *store
	record            *record
	sharded           bool
	// stream, if set, handles a request that has got a slot before its body has been read.
	stream func(u *upstream, w http.ResponseWriter, r *http.Request)
	// receiveBuffer is the size of the receive buffers, or 0 for the usual one.
	receiveBuffer int
	// respond makes the response to a request that has got a slot.
	respond func(u *upstream, w http.ResponseWriter, r *http.Request, body []byte)

	listener net.Listener
	server   *http.Server
	slot     chan struct{}
	mu       sync.Mutex
	grants   []grant
	highest  []grant
	runs     map[string]int
	draining bool
	seq      int64
	stop     chan struct{}
	once     sync.Once
}

// queue is the number of requests that wait for a slot of an upstream.
const queue = 16

// start opens the listener and registers the upstream in the store, each beat again.
func (u *upstream) start(beat time.Duration) error {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		if u.receiveBuffer == 0 {
			return nil
		}
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, u.receiveBuffer)
		})
	}}
	l, err := config.Listen(context.Background(), "tcp", u.address)
	if err != nil {
		return err
	}
	u.address, u.listener = l.Addr().String(), l
	u.born = time.Now().UnixMilli()
	u.slot = make(chan struct{}, u.slots)
	u.runs = map[string]int{}
	u.stop = make(chan struct{})
	u.server = &http.Server{Handler: u, IdleTimeout: 10 * time.Second}
	go func() { _ = u.server.Serve(l) }()
	u.beat()
	go func() {
		for {
			select {
			case <-u.stop:
				return
			case <-time.After(beat):
				u.beat()
			}
		}
	}()
	return nil
}

func (u *upstream) beat() {
	u.mu.Lock()
	u.seq++
	state := "ready"
	if u.draining {
		state = "draining"
	}
	spec := map[string]any{
		"service": u.service, "address": u.address, "zone": u.zone, "version": "v1", "maxConcurrency": u.slots,
		"state": state, "warmupLeftMs": 0, "seq": u.seq, "born": u.born,
	}
	u.mu.Unlock()
	u.store.put("servers", u.id, spec)
}

// close ends the upstream at once.
func (u *upstream) close() {
	u.once.Do(func() {
		close(u.stop)
		_ = u.server.Close()
	})
}

// holds reports whether the upstream holds a key now. The lock is held.
func (u *upstream) holds(key uint64) bool {
	for _, g := range u.grants {
		if key >= g.From && key <= g.Target && time.Now().Before(g.until) {
			return true
		}
	}
	return false
}

// ServeHTTP implements http.Handler.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Bramleystand-Expect-Instance"); expected != "" && expected != u.id {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Bramleystand-Instance-Id", u.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/healthz":
		w.Header().Set("Bramleystand-Instance-Id", u.id)
		return
	case "/v1/grant", "/v1/release":
		u.order(w, r)
		return
	}
	var body []byte
	if u.stream == nil {
		var err error
		if body, err = io.ReadAll(r.Body); err != nil {
			return
		}
	}
	id := r.Header.Get("Bramleystand-Attempt-Id")
	w.Header().Set("Bramleystand-Attempt-Id", id)
	left, _ := strconv.Atoi(r.Header.Get("Bramleystand-Deadline-Ms"))
	deadline := time.NewTimer(time.Duration(left) * time.Millisecond)
	defer deadline.Stop()
	if len(u.slot) > u.slots+queue {
		u.reject(w, http.StatusServiceUnavailable)
		return
	}
	select {
	case u.slot <- struct{}{}:
	case <-deadline.C:
		u.reject(w, http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	defer func() { <-u.slot }()
	if u.sharded {
		key, _ := strconv.ParseUint(r.Header.Get("Bramleystand-Shard-Key"), 10, 64)
		u.mu.Lock()
		held := u.holds(key)
		u.mu.Unlock()
		if !held {
			u.reject(w, http.StatusMisdirectedRequest)
			return
		}
	}
	u.mu.Lock()
	u.runs[id]++
	u.mu.Unlock()
	u.record.write("run id=%s by=%s", id, u.id)
	w.Header().Set("Bramleystand-Response-Signature", "sig."+u.id+"."+id)
	if u.stream != nil {
		u.stream(u, w, r)
		return
	}
	u.respond(u, w, r, body)
}

func (u *upstream) reject(w http.ResponseWriter, status int) {
	w.Header().Set("Bramleystand-Not-Executed", "1")
	if status == http.StatusMisdirectedRequest {
		w.Header().Set("Bramleystand-Instance-Id", u.id)
	}
	w.WriteHeader(status)
}

// order handles a grant or a release.
func (u *upstream) order(w http.ResponseWriter, r *http.Request) {
	var g grant
	if json.NewDecoder(r.Body).Decode(&g) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	g.until = time.Now().Add(time.Duration(g.HoldMs) * time.Millisecond)
	u.mu.Lock()
	defer u.mu.Unlock()
	if r.URL.Path == "/v1/release" {
		u.cut(g)
		w.Header().Set("Bramleystand-Handover", fmt.Sprintf("h%s%d", u.id, g.Fence))
		return
	}
	for _, h := range u.highest {
		if h.From <= g.Target && h.Target >= g.From && h.Fence > g.Fence {
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	u.cut(g)
	u.grants = append(u.grants, g)
	kept := u.highest[:0]
	for _, h := range u.highest {
		if h.From < g.From || h.Target > g.Target {
			kept = append(kept, h)
		}
	}
	u.highest = append(kept, g)
}

// cut takes the keys of g out of all grants. The lock is held.
func (u *upstream) cut(g grant) {
	var kept []grant
	for _, h := range u.grants {
		if h.Target < g.From || h.From > g.Target {
			kept = append(kept, h)
			continue
		}
		if h.From < g.From {
			left := h
			left.Target = g.From - 1
			kept = append(kept, left)
		}
		if h.Target > g.Target {
			right := h
			right.From = g.Target + 1
			kept = append(kept, right)
		}
	}
	u.grants = kept
}
