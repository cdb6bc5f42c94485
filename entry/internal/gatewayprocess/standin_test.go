package gatewayprocess_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// object is an object of the stand-in of the store.
type object struct {
	kind, name string
	rev        uint64
	spec       json.RawMessage
}

func (o *object) wire() map[string]any {
	return map[string]any{"metadata": map[string]any{"name": o.name, "rev": o.rev}, "spec": o.spec}
}

// event is a change in the history of the stand-in.
type event struct {
	object
	deleted bool
}

// store is a stand-in of the platform's store, with lists, conditional writes and watches.
type store struct {
	address netip.AddrPort

	mu       sync.Mutex
	revision uint64
	objects  map[string]*object
	history  []event
	changed  chan struct{}
	down     bool
	// calls is the number of calls so far.
	calls int
}

func (s *store) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func newStore(t *testing.T) *store {
	s := &store{objects: make(map[string]*object), changed: make(chan struct{}), revision: 1}
	s.address = listen(t, s)
	return s
}

// listen serves a handler on loopback until the test ends.
func listen(t *testing.T, h http.Handler) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return netip.MustParseAddrPort(l.Addr().String())
}

// put writes an object without a condition.
func (s *store) put(kind, name, spec string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change(event{object: object{kind: kind, name: name, spec: json.RawMessage(spec)}})
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change(event{object: object{kind: kind, name: name}, deleted: true})
}

// setDown makes every call fail, or ends that.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

// change makes a change. The lock is held.
func (s *store) change(e event) {
	s.revision++
	e.rev = s.revision
	key := e.kind + "/" + e.name
	if e.deleted {
		delete(s.objects, key)
	} else {
		o := e.object
		s.objects[key] = &o
	}
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	if watch := r.URL.Query().Get("watch"); watch != "" {
		s.watch(w, r, kind, watch)
		return
	}
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.Method == http.MethodGet && name == "":
		items := []any{}
		for _, o := range s.objects {
			if o.kind == kind {
				items = append(items, o.wire())
			}
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "hasMore": false, "storeRevision": s.revision})
	case r.Method == http.MethodGet:
		o, ok := s.objects[kind+"/"+name]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_ = json.NewEncoder(w).Encode(o.wire())
	default:
		s.write(w, kind, body)
	}
}

// write carries out a conditional write. The lock is held.
func (s *store) write(w http.ResponseWriter, kind string, body []byte) {
	var in struct {
		Metadata struct {
			Name string
			Rev  uint64
		}
		Spec json.RawMessage
	}
	if err := json.Unmarshal(body, &in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	have := uint64(0)
	if o, ok := s.objects[kind+"/"+in.Metadata.Name]; ok {
		have = o.rev
	}
	if have != in.Metadata.Rev {
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.change(event{object: object{kind: kind, name: in.Metadata.Name, spec: in.Spec}})
	_ = json.NewEncoder(w).Encode(s.objects[kind+"/"+in.Metadata.Name].wire())
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind, watch string) {
	after, _ := strconv.ParseUint(watch, 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []any{}
		for _, e := range s.history {
			if e.kind == kind && e.rev > after {
				events = append(events, map[string]any{"deleted": e.deleted, "object": e.wire()})
			}
		}
		changed, revision, down := s.changed, s.revision, s.down
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(events) > 0 {
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "storeRevision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// backend is a stand-in of a backend server that checks grants.
type backend struct {
	id      string
	address netip.AddrPort

	mu     sync.Mutex
	fences [1 << 16]uint64
	until  [1 << 16]time.Time
	ran    map[string]int
}

func newBackend(t *testing.T, id string) *backend {
	b := &backend{id: id, ran: make(map[string]int)}
	b.address = listen(t, b)
	return b
}

// entry is what the server says of itself.
func (b *backend) entry(state string) string {
	return fmt.Sprintf(`{"service":"keyed","address":%q,"zone":"x","version":"v1","maxConcurrency":4,"state":%q,"warmupLeftMs":0,"seq":1,"born":1}`, b.address, state)
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.URL.Path == "/v1/grant" || r.URL.Path == "/v1/release" {
		b.order(w, r.URL.Path == "/v1/release", body)
		return
	}
	w.Header().Set("Bramleystand-Attempt-Id", r.Header.Get("Bramleystand-Attempt-Id"))
	key, err := strconv.Atoi(r.Header.Get("Bramleystand-Shard-Key"))
	if err != nil || r.Header.Get("Bramleystand-Expect-Instance") != b.id || !time.Now().Before(b.until[key]) {
		w.Header().Set("Bramleystand-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.ran[r.Header.Get("Bramleystand-Attempt-Id")]++
	w.Header().Set("Bramleystand-Response-Signature", b.id)
	_, _ = w.Write(body)
}

// order carries out a grant or release. The lock is held.
func (b *backend) order(w http.ResponseWriter, release bool, body []byte) {
	var o struct {
		From, Target int
		Fence        uint64
		HoldMs       int
	}
	if err := json.Unmarshal(body, &o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for k := o.From; k <= o.Target && !release; k++ {
		if b.fences[k] > o.Fence {
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	for k := o.From; k <= o.Target; k++ {
		if release {
			b.until[k] = time.Time{}
			continue
		}
		b.fences[k], b.until[k] = o.Fence, time.Now().Add(time.Duration(o.HoldMs)*time.Millisecond)
	}
	w.Header().Set("Bramleystand-Handover", "token")
}

// holds returns how many of some keys the server holds.
func (b *backend) holds(keys []int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, k := range keys {
		if time.Now().Before(b.until[k]) {
			n++
		}
	}
	return n
}

// listenOnce returns a loopback address with a port that nobody uses.
func listenOnce(t *testing.T) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	return netip.MustParseAddrPort(l.Addr().String())
}

// frontend is an address of the store that can turn its callers away while others are served.
type frontend struct {
	store   *store
	address netip.AddrPort
	closed  atomic.Bool
}

func (s *store) newFrontend(t *testing.T) *frontend {
	d := &frontend{store: s}
	d.address = listen(t, d)
	return d
}

// ServeHTTP implements http.Handler.
func (d *frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if d.closed.Load() {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	d.store.ServeHTTP(w, r)
}
