package process_test

import (
	"context"
	"encoding/json"
	"expvar"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"

	"bramleystand.org/common/configuration"
	"bramleystand.org/entry/internal/control"
	"bramleystand.org/entry/internal/controller"
	"bramleystand.org/entry/internal/process"
	"bramleystand.org/entry/internal/settings"
)

// fakePlatform implements process.Platform with objects in memory.
type fakePlatform struct {
	mu      sync.Mutex
	version int64
	objects map[string]control.Object
	changed chan struct{}
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{objects: make(map[string]control.Object), changed: make(chan struct{})}
}

func (f *fakePlatform) List(context.Context, string) ([]control.Object, int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []control.Object
	for _, o := range f.objects {
		all = append(all, o)
	}
	return all, f.version, nil
}

func (f *fakePlatform) Watch(ctx context.Context, prefix string, after int64) ([]control.Object, int64, error) {
	f.mu.Lock()
	version, changed := f.version, f.changed
	f.mu.Unlock()
	if version == after {
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, after, ctx.Err()
		}
	}
	return f.List(ctx, prefix)
}

func (f *fakePlatform) Load(_ context.Context, name string) (control.Object, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	o, ok := f.objects[name]
	return o, ok, nil
}

func (f *fakePlatform) Store(_ context.Context, name string, value []byte, expected int64) (int64, controller.WriteResult) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.objects[name].Version != expected {
		return f.objects[name].Version, controller.WriteConflict
	}
	f.version++
	f.objects[name] = control.Object{Name: name, Version: f.version, Value: value}
	close(f.changed)
	f.changed = make(chan struct{})
	return f.version, controller.WriteStored
}

func (f *fakePlatform) VMs(context.Context) (int64, []process.VM, error) {
	return 1, []process.VM{{Name: "e1"}, {Name: "e2"}}, nil
}

// fakeBackend is an unfenced backend server that counts the confirmations it has run.
type fakeBackend struct {
	*httptest.Server
	name          string
	confirmations atomic.Int64
}

func newFakeBackend(t *testing.T, name string) *fakeBackend {
	t.Helper()
	s := &fakeBackend{name: name}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Bramley-Rank") == "confirmation" {
			s.confirmations.Add(1)
		}
		_, _ = io.WriteString(w, s.name)
	}))
	t.Cleanup(s.Close)
	return s
}

func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	return netip.MustParseAddrPort(l.Addr().String())
}

// entryVM is a running entry process.
type entryVM struct {
	url  string
	stop context.CancelFunc
	done chan error
}

// request sends a request and returns the status, the outcome header and the body of the response.
func (v *entryVM) request(t *testing.T, method, path string, header map[string]string) (int, string, string) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, v.url+path, nil)
	must.NoError(t, err)
	for k, value := range header {
		r.Header.Set(k, value)
	}
	response, err := http.DefaultClient.Do(r)
	must.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	return response.StatusCode, response.Header.Get("Bramley-Outcome"), string(body)
}

// startEntryVMs starts entry processes that have each other as seeds.
func startEntryVMs(t *testing.T, platform process.Platform, names ...string) []*entryVM {
	t.Helper()
	var seeds []netip.AddrPort
	for range names {
		seeds = append(seeds, freeAddress(t))
	}
	var vms []*entryVM
	for i, name := range names {
		s := settings.Settings{
			Name: name, DataCentre: "tvm", Region: "kerala-south", CallerAddress: freeAddress(t), PeerAddress: seeds[i],
			AdminAddress: freeAddress(t), Seeds: seeds, Stop: 10 * time.Second, MaxBodyBytes: 1 << 20,
		}
		p, err := process.New(s, time.Now(), platform, new(expvar.Map).Init(), &log.Logger{Handler: discard.New()})
		must.NoError(t, err)
		ctx, cancel := context.WithCancel(context.Background())
		v := &entryVM{url: "http://" + s.CallerAddress.String(), stop: cancel, done: make(chan error, 1)}
		go func() { v.done <- p.Run(ctx) }()
		vms = append(vms, v)
	}
	return vms
}

// putService stores a service on the platform whose upstreams are the given servers.
func putService(t *testing.T, platform *fakePlatform, servers []*fakeBackend) {
	t.Helper()
	service := configuration.Service{Name: "seat-desk", Shards: 64}
	for _, s := range servers {
		service.Upstreams = append(service.Upstreams, configuration.Upstream{
			Name: s.name, DataCentre: "tvm", Slots: 4, Connections: 20,
			Address: netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://")),
		})
	}
	service.Homes = []configuration.HomeRange{{DataCentre: "tvm", First: 0, Last: 63}}
	value, err := configuration.EncodeService(service)
	must.NoError(t, err)
	platform.Store(t.Context(), "services/seat-desk", value, 0)
}

// Guards against a fault anywhere on the path from a client to the leaseholder of its key,
// against a confirmation that runs twice because it is sent through two entry VMs, and
// against requests that fail when an entry VM stops gracefully.
func TestWholePath(t *testing.T) {
	platform := newFakePlatform()
	servers := []*fakeBackend{newFakeBackend(t, "u1"), newFakeBackend(t, "u2"), newFakeBackend(t, "u3")}
	putService(t, platform, servers)
	vms := startEntryVMs(t, platform, "e1", "e2")
	longTimeout := map[string]string{"Bramley-Timeout": "60000"}

	// Each entry VM answers 404 until it knows the service. A request then waits until the
	// shard of its key has a leaseholder.
	for status := http.StatusNotFound; status == http.StatusNotFound; {
		status, _, _ = vms[0].request(t, "GET", "/v1/keys/seat-desk/trolley-7", longTimeout)
	}
	for status := http.StatusNotFound; status == http.StatusNotFound; {
		status, _, _ = vms[1].request(t, "GET", "/v1/keys/seat-desk/trolley-7", longTimeout)
	}
	_, outcome, owner := vms[0].request(t, "GET", "/v1/keys/seat-desk/trolley-7", longTimeout)
	must.Eq(t, "ran", outcome)
	_, _, ownerSeenByOther := vms[1].request(t, "GET", "/v1/keys/seat-desk/trolley-7", longTimeout)
	must.Eq(t, owner, ownerSeenByOther)

	status, _, body := vms[0].request(t, "POST", "/v1/tickets/seat-desk/trolley-7", longTimeout)
	must.Eq(t, http.StatusCreated, status)
	var issued struct{ Ticket string }
	must.NoError(t, json.Unmarshal([]byte(body), &issued))
	confirmation := map[string]string{"Bramley-Rank": "confirmation", "Bramley-Ticket": issued.Ticket, "Bramley-Timeout": "60000"}
	for _, v := range vms {
		_, outcome, text := v.request(t, "POST", "/v1/keys/seat-desk/trolley-7", confirmation)
		must.Eq(t, "ran", outcome)
		must.Eq(t, owner, text)
	}

	vms[1].stop()
	for i := range 200 {
		_, outcome, _ := vms[0].request(t, "GET", "/v1/keys/seat-desk/"+strings.Repeat("k", i+1), longTimeout)
		must.Eq(t, "ran", outcome)
	}
	must.NoError(t, <-vms[1].done)
	// The pair must not have lost its majority when the other process stopped.
	for start := time.Now(); time.Since(start) < 2*control.LeaseTTL; {
		_, outcome, _ := vms[0].request(t, "GET", "/v1/keys/seat-desk/trolley-7", longTimeout)
		must.Eq(t, "ran", outcome)
	}
	_, outcome, text := vms[0].request(t, "POST", "/v1/keys/seat-desk/trolley-7", confirmation)
	must.Eq(t, "ran", outcome)
	must.Eq(t, owner, text)
	vms[0].stop()
	must.NoError(t, <-vms[0].done)
	var runs int64
	for _, s := range servers {
		runs += s.confirmations.Load()
	}
	must.EqOp(t, 1, runs)
}
