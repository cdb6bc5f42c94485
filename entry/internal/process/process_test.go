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

// fakePlatform holds objects in memory.
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

func (f *fakePlatform) Store(_ context.Context, name string, value []byte, expected int64) (int64, controller.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.objects[name].Version != expected {
		return f.objects[name].Version, controller.Conflict
	}
	f.version++
	f.objects[name] = control.Object{Name: name, Version: f.version, Value: value}
	close(f.changed)
	f.changed = make(chan struct{})
	return f.version, controller.Stored
}

func (f *fakePlatform) VMs(context.Context) (int64, []process.VM, error) {
	return 1, []process.VM{{Name: "e1"}, {Name: "e2"}}, nil
}

// server is an unfenced backend server that counts the confirmations it ran.
type server struct {
	*httptest.Server
	name          string
	confirmations atomic.Int64
}

func newServer(t *testing.T, name string) *server {
	t.Helper()
	s := &server{name: name}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Bramley-Rank") == "confirmation" {
			s.confirmations.Add(1)
		}
		_, _ = io.WriteString(w, s.name)
	}))
	t.Cleanup(s.Close)
	return s
}

func freePort(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	return netip.MustParseAddrPort(l.Addr().String())
}

// vm is a running entry process.
type vm struct {
	url  string
	stop context.CancelFunc
	done chan error
}

func (v *vm) call(t *testing.T, method, path string, header map[string]string) (int, string, string) {
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

// startVMs runs entry processes that know each other.
func startVMs(t *testing.T, platform process.Platform, names ...string) []*vm {
	t.Helper()
	var seeds []netip.AddrPort
	for range names {
		seeds = append(seeds, freePort(t))
	}
	var vms []*vm
	for i, name := range names {
		s := settings.Settings{
			Name: name, DataCentre: "tvm", Region: "kerala-south", Caller: freePort(t), Peer: seeds[i],
			Admin: freePort(t), Seeds: seeds, Stop: 10 * time.Second, Body: 1 << 20,
		}
		p, err := process.New(s, time.Now(), platform, new(expvar.Map).Init(), &log.Logger{Handler: discard.New()})
		must.NoError(t, err)
		ctx, cancel := context.WithCancel(context.Background())
		v := &vm{url: "http://" + s.Caller.String(), stop: cancel, done: make(chan error, 1)}
		go func() { v.done <- p.Run(ctx) }()
		vms = append(vms, v)
	}
	return vms
}

func putService(t *testing.T, platform *fakePlatform, servers []*server) {
	t.Helper()
	service := configuration.Service{Name: "seat-desk", Shards: 64}
	for _, s := range servers {
		service.Upstreams = append(service.Upstreams, configuration.Upstream{
			Name: s.name, DataCentre: "tvm", Slots: 4, Connections: 20,
			Address: netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://")),
		})
	}
	service.Homes = []configuration.Home{{DataCentre: "tvm", First: 0, Last: 63}}
	value, err := configuration.EncodeService(service)
	must.NoError(t, err)
	platform.Store(t.Context(), "services/seat-desk", value, 0)
}

// Guards against any link of the path from a caller to the owner of its key being missing,
// against a final action running twice through two entry VMs, and against requests that
// fail when an entry VM stops as planned.
func TestWholePath(t *testing.T) {
	platform := newFakePlatform()
	servers := []*server{newServer(t, "u1"), newServer(t, "u2"), newServer(t, "u3")}
	putService(t, platform, servers)
	vms := startVMs(t, platform, "e1", "e2")
	long := map[string]string{"Bramley-Timeout": "60000"}

	// The first request waits until the service is known and its keys have owners.
	for status := http.StatusNotFound; status == http.StatusNotFound; {
		status, _, _ = vms[0].call(t, "GET", "/v1/keys/seat-desk/trolley-7", long)
	}
	for status := http.StatusNotFound; status == http.StatusNotFound; {
		status, _, _ = vms[1].call(t, "GET", "/v1/keys/seat-desk/trolley-7", long)
	}
	_, outcome, owner := vms[0].call(t, "GET", "/v1/keys/seat-desk/trolley-7", long)
	must.Eq(t, "ran", outcome)
	_, _, other := vms[1].call(t, "GET", "/v1/keys/seat-desk/trolley-7", long)
	must.Eq(t, owner, other)

	status, _, body := vms[0].call(t, "POST", "/v1/tickets/seat-desk/trolley-7", long)
	must.Eq(t, http.StatusCreated, status)
	var issued struct{ Ticket string }
	must.NoError(t, json.Unmarshal([]byte(body), &issued))
	confirm := map[string]string{"Bramley-Rank": "confirmation", "Bramley-Ticket": issued.Ticket, "Bramley-Timeout": "60000"}
	for _, v := range vms {
		_, outcome, text := v.call(t, "POST", "/v1/keys/seat-desk/trolley-7", confirm)
		must.Eq(t, "ran", outcome)
		must.Eq(t, owner, text)
	}

	vms[1].stop()
	for i := range 200 {
		_, outcome, _ := vms[0].call(t, "GET", "/v1/keys/seat-desk/"+strings.Repeat("k", i+1), long)
		must.Eq(t, "ran", outcome)
	}
	must.NoError(t, <-vms[1].done)
	// The remaining process must not have lost its majority with the other.
	for start := time.Now(); time.Since(start) < 2*control.LeaseTTL; {
		_, outcome, _ := vms[0].call(t, "GET", "/v1/keys/seat-desk/trolley-7", long)
		must.Eq(t, "ran", outcome)
	}
	_, outcome, text := vms[0].call(t, "POST", "/v1/keys/seat-desk/trolley-7", confirm)
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
