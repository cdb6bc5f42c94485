package gatewayprocess_test

import (
	"context"
	"expvar"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"runtime/pprof"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/shoenig/test/must"

	"bramleystand.org/common/boundedlog"
	"bramleystand.org/common/gatewaysettings"
	"bramleystand.org/common/linebudget"
	"bramleystand.org/entry/internal/gatewayprocess"
)

var (
	fleetProcesses = flag.Int("fleet.processes", 78, "entry processes of BenchmarkFleet")
	fleetServers   = flag.Int("fleet.servers", 405, "backend servers of BenchmarkFleet")
	fleetRate      = flag.Int("fleet.rate", 2300, "requests a second of BenchmarkFleet")
	fleetSeconds   = flag.Int("fleet.seconds", 10, "seconds of each phase of BenchmarkFleet")
	fleetPhases    = flag.String("fleet.phases", "steady", "phases of BenchmarkFleet: steady, hot, lost")
)

// fleetStart is the time after which the processes have a coordinator and all keys an owner.
const fleetStart = 6 * time.Second

// fleetBackend is a backend server that takes as long as a real one, without a processor's work.
type fleetBackend struct {
	id      string
	address netip.AddrPort
	silent  atomic.Bool
	grants  *atomic.Int64
}

func (b *fleetBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if b.silent.Load() {
		<-r.Context().Done()
		return
	}
	if strings.HasPrefix(r.URL.Path, "/v1/") {
		b.grants.Add(1)
		return
	}
	<-time.After(time.Duration(200+rand.IntN(400)) * time.Millisecond)
	w.Header().Set("Bramleystand-Attempt-Id", r.Header.Get("Bramleystand-Attempt-Id"))
	w.Header().Set("Bramleystand-Response-Signature", b.id)
	_, _ = w.Write(make([]byte, 400))
}

// fleetAddress returns an address with a loopback IP of its own.
func fleetAddress(b *testing.B, n int) netip.AddrPort {
	ip := netip.AddrFrom4([4]byte{127, byte(1 + os.Getpid()%250), byte(n >> 8), byte(n)})
	l, err := net.Listen("tcp", netip.AddrPortFrom(ip, 0).String())
	must.NoError(b, err)
	defer l.Close()
	return netip.MustParseAddrPort(l.Addr().String())
}

// BenchmarkFleet runs the largest deployment of the users in one process, to be profiled by role. With
// -cpuprofile, the label "process" of a sample names the entry process; that of stand-ins and clients is
// empty:
//
//	go test -run NONE -bench Fleet -benchtime 1x -cpuprofile F -fleet.phases steady,lost
//	go tool pprof -top -cum -tagfocus process=edge gatewayprocess.test F
func BenchmarkFleet(b *testing.B) {
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	store := &fakeStore{objects: make(map[string]*storedObject), changed: make(chan struct{}), revision: 1}
	listen := func(h http.Handler, address string) netip.AddrPort {
		l, err := net.Listen("tcp", address)
		must.NoError(b, err)
		s := &http.Server{Handler: h}
		go func() { _ = s.Serve(l) }()
		b.Cleanup(func() { _ = s.Close() })
		return netip.MustParseAddrPort(l.Addr().String())
	}
	store.address = listen(store, "127.0.0.1:0")
	store.put("config", "main", fmt.Sprintf(configurationFormat, 1))
	var grants atomic.Int64
	var backends []*fleetBackend
	for i := range *fleetServers {
		s := &fleetBackend{id: fmt.Sprint("i-0123456789", i), grants: &grants}
		s.address = listen(s, fleetAddress(b, 1000+i).String())
		backends = append(backends, s)
		store.put("servers", s.id, fmt.Sprintf(`{"service":"keyed","address":%q,"zone":"z%d","version":"v1","maxConcurrency":4,"state":"ready","warmupLeftMs":0,"seq":1,"born":1}`, s.address, i%4))
	}
	var clients []netip.AddrPort
	var metrics []*expvar.Map
	var seeds []netip.AddrPort
	for i := range *fleetProcesses {
		s := gatewaysettings.Settings{
			Name: fmt.Sprint("edge-", i), DataCentre: fmt.Sprint("z", i%4), ClientAddress: fleetAddress(b, 4*i), ReadyAddress: fleetAddress(b, 4*i+1), PeerAddress: fleetAddress(b, 4*i+2), AdminAddress: fleetAddress(b, 4*i+3), Store: store.address,
			Seeds: seeds, Stop: 100 * time.Millisecond, Cores: 0.16, MemoryLimit: 200 << 20, RetryBudget: gatewaysettings.RetryBudget{Share: 0.2, Burst: 50, Processes: 16},
		}
		if i < 8 {
			s.Cores = 0.8
		}
		if len(seeds) < 3 {
			seeds = append(seeds, s.PeerAddress)
		}
		m := new(expvar.Map)
		file := filepath.Join(b.TempDir(), "settings.json")
		must.NoError(b, os.WriteFile(file, []byte("not read at the start"), 0o600))
		h := boundedlog.New(io.Discard, linebudget.Limit{Lines: 200, Bytes: 65536}, log.Fields{"program": "entry", "name": s.Name})
		pprof.Do(ctx, pprof.Labels("process", s.Name), func(ctx context.Context) {
			p, err := gatewayprocess.New(s, file, time.Now(), m, &log.Logger{Handler: h, Level: log.DebugLevel})
			must.NoError(b, err)
			go func() { _ = p.Run(ctx) }()
		})
		clients, metrics = append(clients, s.ClientAddress), append(metrics, m)
	}
	<-time.After(fleetStart)
	var served, refused, failed atomic.Int64
	hot := atomic.Int64{}
	hot.Store(-1)
	one := func(i int) {
		key := rand.IntN(1 << 16)
		if h := hot.Load(); h >= 0 && rand.IntN(100) < 36 {
			key = int(h) + rand.IntN(60)
		}
		r, _ := http.NewRequest(http.MethodGet, "http://"+clients[rand.IntN(len(clients))].String()+"/get/x", nil)
		r.Host = "h.example"
		r.Header.Set("Bramleystand-Attempt-Id", strconv.Itoa(i))
		r.Header.Set("Bramleystand-Deadline-Ms", "5000")
		r.Header.Set("Bramleystand-Shard-Key", strconv.Itoa(key))
		r.Close = true
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			failed.Add(1)
			return
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		switch {
		case response.StatusCode == http.StatusOK:
			served.Add(1)
		case response.StatusCode == http.StatusServiceUnavailable:
			refused.Add(1)
		default:
			failed.Add(1)
		}
	}
	go func() {
		const tick = 5 * time.Millisecond
		t := time.NewTicker(tick)
		defer t.Stop()
		begin, sent := time.Now(), 0
		for i := 0; ctx.Err() == nil; {
			<-t.C
			owed := time.Since(begin).Seconds()*float64(*fleetRate) - float64(sent)
			for ; owed >= 1; owed-- {
				i++
				sent++
				go one(i)
			}
		}
	}()
	for _, phase := range strings.Split(*fleetPhases, ",") {
		hot.Store(-1)
		switch phase {
		case "hot":
			hot.Store(int64(rand.IntN(60000)))
		case "lost":
			for i := range *fleetServers * 35 / 100 {
				backends[i].silent.Store(true)
			}
		}
		for range *fleetSeconds {
			g, s, r, f := grants.Load(), served.Load(), refused.Load(), failed.Load()
			<-time.After(time.Second)
			who := 0
			for i, m := range metrics {
				if m.Get("term").String() != "0" {
					who = i
				}
			}
			b.Logf("%s: orders %d, served %d, refused %d, failed %d, store calls %d; edge-%d: %s", phase, grants.Load()-g, served.Load()-s, refused.Load()-r, failed.Load()-f, store.callCount(), who, metrics[who].Get("coordinator"))
		}
	}
}
