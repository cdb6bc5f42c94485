package gatewayprocess_test

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// storedObject is an object of the fake store.
type storedObject struct {
	kind, name string
	rev        uint64
	spec       json.RawMessage
}

// encode returns the object as JSON. The spec is not checked, because an encoder would refuse some that
// other writers may leave.
func (o *storedObject) encode() string {
	spec := string(o.spec)
	if spec == "" {
		spec = "null"
	}
	return fmt.Sprintf(`{"metadata":{"name":%q,"rev":%d},"spec":%s}`, o.name, o.rev, spec)
}

// event is a change in the history of the fake store.
type event struct {
	storedObject
	deleted bool
}

// fakeStore implements the platform's store with lists, conditional writes and watches.
type fakeStore struct {
	address netip.AddrPort

	mu       sync.Mutex
	revision uint64
	objects  map[string]*storedObject
	history  []event
	changed  chan struct{}
	down     bool
	// era is the number of restores.
	era uint64
	// calls is the number of calls received.
	calls int
}

func (s *fakeStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func newFakeStore(t *testing.T) *fakeStore {
	s := &fakeStore{objects: make(map[string]*storedObject), changed: make(chan struct{}), revision: 1}
	s.address = serve(t, s)
	return s
}

// serve serves a handler on loopback until the test ends.
func serve(t *testing.T, h http.Handler) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return netip.MustParseAddrPort(l.Addr().String())
}

// put writes an object whatever its revision is.
func (s *fakeStore) put(kind, name, spec string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commit(event{storedObject: storedObject{kind: kind, name: name, spec: json.RawMessage(spec)}})
}

func (s *fakeStore) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commit(event{storedObject: storedObject{kind: kind, name: name}, deleted: true})
}

// setDown starts or ends an outage, in which all calls fail.
func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

// storeCopy is a copy from which a fake store can be restored.
type storeCopy struct {
	revision uint64
	objects  map[string]*storedObject
	history  int
}

func (s *fakeStore) makeCopy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{revision: s.revision, objects: maps.Clone(s.objects), history: len(s.history)}
}

// restore replaces the content by a copy, whose revision is the latest one again, and writes the latest
// objects of the operator and the servers again.
func (s *fakeStore) restore(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	latest := s.objects
	s.era++
	s.revision, s.objects, s.history = c.revision, maps.Clone(c.objects), slices.Clone(s.history[:c.history])
	for key, o := range latest {
		if o.kind == "config" || o.kind == "servers" {
			if old := s.objects[key]; old == nil || !bytes.Equal(old.spec, o.spec) {
				s.commit(event{storedObject: *o})
			}
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// putAt writes an object like put, with a revision that is above the latest one: the store has assigned
// those in between to objects of other kinds.
func (s *fakeStore) putAt(revision uint64, kind, name, spec string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = max(s.revision, revision-1)
	s.commit(event{storedObject: storedObject{kind: kind, name: name, spec: json.RawMessage(spec)}})
}

// revisionOf returns the revision of an object.
func (s *fakeStore) revisionOf(kind, name string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[kind+"/"+name].rev
}

// commit applies a change and wakes the watches. The lock is held.
func (s *fakeStore) commit(e event) {
	s.revision++
	e.rev = s.revision
	key := e.kind + "/" + e.name
	if e.deleted {
		delete(s.objects, key)
	} else {
		o := e.storedObject
		s.objects[key] = &o
	}
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *fakeStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	switch {
	case s.down:
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.Method == http.MethodGet && name == "":
		items := []string{}
		for _, o := range s.objects {
			if o.kind == kind {
				items = append(items, o.encode())
			}
		}
		_, _ = fmt.Fprintf(w, `{"items":[%s],"hasMore":false,"storeRevision":%d}`, strings.Join(items, ","), s.revision)
	case r.Method == http.MethodGet:
		o, ok := s.objects[kind+"/"+name]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = io.WriteString(w, o.encode())
	default:
		s.conditionalPut(w, kind, body)
	}
}

// conditionalPut writes an object if its revision matches. The lock is held.
func (s *fakeStore) conditionalPut(w http.ResponseWriter, kind string, body []byte) {
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
	current := uint64(0)
	if o, ok := s.objects[kind+"/"+in.Metadata.Name]; ok {
		current = o.rev
	}
	if current != in.Metadata.Rev {
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.commit(event{storedObject: storedObject{kind: kind, name: in.Metadata.Name, spec: in.Spec}})
	_, _ = io.WriteString(w, s.objects[kind+"/"+in.Metadata.Name].encode())
}

func (s *fakeStore) watch(w http.ResponseWriter, r *http.Request, kind, watch string) {
	after, _ := strconv.ParseUint(watch, 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []string{}
		for _, e := range s.history {
			if e.kind == kind && e.rev > after {
				events = append(events, fmt.Sprintf(`{"deleted":%t,"object":%s}`, e.deleted, e.encode()))
			}
		}
		changed, revision, down := s.changed, s.revision, s.down
		w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if after > revision {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			_, _ = fmt.Fprintf(w, `{"events":[%s],"storeRevision":%d}`, strings.Join(events, ","), revision)
			return
		}
		select {
		case <-changed:
		case <-end:
			_, _ = fmt.Fprintf(w, `{"events":[%s],"storeRevision":%d}`, strings.Join(events, ","), revision)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// fakeBackend is a backend server that runs only requests for keys that it has been granted.
type fakeBackend struct {
	id      string
	born    int64
	address netip.AddrPort
	server  *http.Server
	// grants records the accepted grants of all servers of a test, if it is set.
	grants *grantRecord
	open   sync.Map
	// slow is the number of requests run whose identifier begins with "slow-". They end when
	// finishSlow is closed.
	slow       atomic.Int32
	finishSlow chan struct{}

	mu         sync.Mutex
	fences     [1 << 16]uint64
	expiries   [1 << 16]time.Time
	executions map[string]int
	// limit is the request limit that the responses name; empty for none.
	limit string
	// header has further fields of all responses to requests.
	header http.Header
	// turnAway returns the Retry-After with which a request from an IP address is turned away, or "" for one
	// that is not; nil if none is.
	turnAway func(from string) string
	// work returns how long a request takes; nil for no time.
	work func(id string) time.Duration
	// centre is the data centre of the server, "x" if it is empty, and coldMs how long it stays cold.
	centre string
	coldMs int
	// plain is true if the server runs requests without grants.
	plain bool
	// requests has the requests that arrived, and the time at which each did.
	requests []arrivedRequest
	// arrivals has the times of all requests, those without grants included.
	arrivals []time.Time
}

// arrivedRequest is a request that has arrived at a server.
type arrivedRequest struct {
	id string
	at time.Time
	// from is the IP address of the process that sent it, and retryAfter with what it was turned away.
	from, retryAfter string
}

// setTurnAway changes from now on which requests are turned away.
func (b *fakeBackend) setTurnAway(f func(from string) string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.turnAway = f
}

// arrivedWhileHeld returns how many requests arrived from a process between half a second after one of its
// requests was turned away and the end of the time that was stated, the largest number for any of these.
func (b *fakeBackend) arrivedWhileHeld(t *testing.T) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	most := 0
	for i, refused := range b.requests {
		if refused.retryAfter == "" {
			continue
		}
		seconds, err := strconv.ParseFloat(refused.retryAfter, 64)
		must.NoError(t, err)
		from, until := refused.at.Add(500*time.Millisecond), refused.at.Add(time.Duration(seconds*float64(time.Second)))
		n := 0
		for _, r := range b.requests[i:] {
			if r.from == refused.from && r.at.After(from) && r.at.Before(until) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// setHeader replaces the further fields of all responses from now on.
func (b *fakeBackend) setHeader(h http.Header) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.header = h
}

// arrivedIn returns the identifiers of the requests that arrived from a time on and before another one.
func (b *fakeBackend) arrivedIn(from, until time.Time) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ids []string
	for _, r := range b.requests {
		if !r.at.Before(from) && r.at.Before(until) {
			ids = append(ids, r.id)
		}
	}
	return ids
}

// setLimit makes the responses name a request limit from now on.
func (b *fakeBackend) setLimit(limit string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
}

// maxArrivals returns the largest number of requests that arrived in a window of the given length that
// ends after since. Requests that arrived until from are not counted.
func (b *fakeBackend) maxArrivals(from, since time.Time, window time.Duration) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	most, first := 0, 0
	for i, at := range b.arrivals {
		for at.Sub(b.arrivals[first]) >= window || first < i && !b.arrivals[first].After(from) {
			first++
		}
		if at.After(since) {
			most = max(most, i-first+1)
		}
	}
	return most
}

func newFakeBackend(t *testing.T, id string) *fakeBackend {
	b := &fakeBackend{id: id, born: 1, executions: make(map[string]int), finishSlow: make(chan struct{})}
	b.address = serve(t, b)
	return b
}

// newFakeBackendAt returns an instance that listens at an address where another one may have ended.
func newFakeBackendAt(t *testing.T, id string, born int64, address netip.AddrPort, grants *grantRecord) *fakeBackend {
	b := &fakeBackend{id: id, born: born, address: address, grants: grants, executions: make(map[string]int), finishSlow: make(chan struct{})}
	l, err := net.Listen("tcp", address.String())
	must.NoError(t, err)
	b.server = &http.Server{Handler: b, ConnState: b.recordConnection}
	go func() { _ = b.server.Serve(l) }()
	t.Cleanup(func() { _ = b.server.Close() })
	return b
}

// recordConnection keeps the open connections.
func (b *fakeBackend) recordConnection(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		b.open.Store(c, true)
	case http.StateClosed, http.StateHijacked:
		b.open.Delete(c)
	}
}

// closeConnections closes all connections of a server that goes on.
func (b *fakeBackend) closeConnections() {
	b.open.Range(func(c, _ any) bool {
		_ = c.(net.Conn).Close()
		return true
	})
}

// end ends the instance as a crash does: its listener and all connections are closed.
func (b *fakeBackend) end(t *testing.T) {
	must.NoError(t, b.server.Close())
	if b.grants != nil {
		b.grants.end(b)
	}
}

// registryEntry returns the server's entry in the store.
func (b *fakeBackend) registryEntry(state string) string {
	return fmt.Sprintf(`{"service":"keyed","address":%q,"zone":%q,"version":"v1","maxConcurrency":4,"state":%q,"warmupLeftMs":%d,"seq":1,"born":%d}`, b.address, cmp.Or(b.centre, "x"), state, b.coldMs, b.born)
}

// ServeHTTP implements http.Handler.
func (b *fakeBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.URL.Path == "/v1/grant" || r.URL.Path == "/v1/release" {
		if expected := r.Header.Get("Bramleystand-Expect-Instance"); expected != "" && expected != b.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		b.handleOrder(w, r.URL.Path == "/v1/release", body)
		return
	}
	b.arrivals = append(b.arrivals, time.Now())
	from, _, _ := net.SplitHostPort(r.RemoteAddr)
	arrived := arrivedRequest{id: r.Header.Get("Bramleystand-Attempt-Id"), at: time.Now(), from: from}
	if b.turnAway != nil {
		arrived.retryAfter = b.turnAway(from)
	}
	b.requests = append(b.requests, arrived)
	maps.Copy(w.Header(), b.header)
	if b.limit != "" {
		w.Header().Set("Server-Limit", b.limit)
	}
	w.Header().Set("Bramleystand-Attempt-Id", r.Header.Get("Bramleystand-Attempt-Id"))
	if arrived.retryAfter != "" {
		w.Header().Set("Retry-After", arrived.retryAfter)
		w.Header().Set("Bramleystand-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	key, err := strconv.Atoi(r.Header.Get("Bramleystand-Shard-Key"))
	if r.Header.Get("Bramleystand-Expect-Instance") != b.id {
		w.Header().Set("Bramleystand-Instance-Id", b.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !b.plain && (err != nil || !time.Now().Before(b.expiries[key])) {
		w.Header().Set("Bramleystand-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.executions[r.Header.Get("Bramleystand-Attempt-Id")]++
	if strings.HasPrefix(r.Header.Get("Bramleystand-Attempt-Id"), "slow-") {
		b.mu.Unlock()
		b.slow.Add(1)
		<-b.finishSlow
		b.mu.Lock()
	}
	if b.work != nil {
		took := b.work(r.Header.Get("Bramleystand-Attempt-Id"))
		b.mu.Unlock()
		<-time.After(took)
		b.mu.Lock()
	}
	w.Header().Set("Bramleystand-Response-Signature", b.id)
	_, _ = w.Write(body)
}

// handleOrder applies a grant or release. The lock is held.
func (b *fakeBackend) handleOrder(w http.ResponseWriter, release bool, body []byte) {
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
			b.expiries[k] = time.Time{}
			continue
		}
		b.fences[k], b.expiries[k] = o.Fence, time.Now().Add(time.Duration(o.HoldMs)*time.Millisecond)
	}
	if b.grants != nil {
		b.grants.add(b, release, o.From, o.Target, o.Fence, time.Duration(o.HoldMs)*time.Millisecond)
	}
	w.Header().Set("Bramleystand-Handover", "token")
}

// heldKeys returns how many of the given keys the server holds.
func (b *fakeBackend) heldKeys(keys []int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, k := range keys {
		if time.Now().Before(b.expiries[k]) {
			n++
		}
	}
	return n
}

// heldByBoth returns how many of the given keys two servers hold at the same time.
func heldByBoth(a, b *fakeBackend, keys []int) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	b.mu.Lock()
	defer b.mu.Unlock()
	n, now := 0, time.Now()
	for _, k := range keys {
		if now.Before(a.expiries[k]) && now.Before(b.expiries[k]) {
			n++
		}
	}
	return n
}

// lastAddress is the number of addresses that unusedAddress has returned.
var lastAddress atomic.Uint32

// unusedAddress returns an address with a loopback IP of its own, so that no other socket can take the
// port before a process listens on it.
func unusedAddress(t *testing.T) netip.AddrPort {
	pid, n := os.Getpid(), lastAddress.Add(1)
	ip := netip.AddrFrom4([4]byte{127, byte(1 + (pid>>8+int(n>>8))%254), byte(pid), byte(n)})
	l, err := net.Listen("tcp", netip.AddrPortFrom(ip, 0).String())
	must.NoError(t, err)
	defer l.Close()
	return netip.MustParseAddrPort(l.Addr().String())
}

// frontend is a second address of a fake store that can reject its calls while the first one serves.
type frontend struct {
	fakeStore *fakeStore
	address   netip.AddrPort
	rejecting atomic.Bool
}

func (s *fakeStore) newFrontend(t *testing.T) *frontend {
	f := &frontend{fakeStore: s}
	f.address = serve(t, f)
	return f
}

// ServeHTTP implements http.Handler.
func (f *frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.rejecting.Load() {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	f.fakeStore.ServeHTTP(w, r)
}
