package gatewayprocess_test

import (
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"bramleystand.org/common/gatewaysettings"
	"bramleystand.org/entry/internal/gatewayprocess"
)

const configuration = `{"version":%d,"routes":{"get":{"host":"h.example","pathPrefix":"/get/","routeType":"idempotent","timeoutMs":2000,"sloMs":500,"priority":0,"service":"keyed","attempts":2},
"final":{"host":"h.example","pathPrefix":"/final/","routeType":"non_idempotent","timeoutMs":2000,"sloMs":500,"priority":1,"service":"keyed","attempts":2}},
"services":{"keyed":{"healthPath":"/h","maxConns":100,"sharded":true,"warmS":1}},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// entryProcess is a process of the test.
type entryProcess struct {
	settings gatewaysettings.Settings
	file     string
	logs     *messages
	stop     context.CancelFunc
	done     chan error
}

// messages keeps the messages of the log.
type messages struct {
	mu  sync.Mutex
	all []string
}

// HandleLog implements log.Handler.
func (m *messages) HandleLog(e *log.Entry) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.all = append(m.all, e.Message)
	return nil
}

func (m *messages) has(message string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Contains(m.all, message)
}

// start runs a process on loopback.
func start(t *testing.T, s *store, name string, seeds ...netip.AddrPort) *entryProcess {
	return startAt(t, s.address, name, seeds...)
}

// startAt runs a process that knows the store by an address.
func startAt(t *testing.T, store netip.AddrPort, name string, seeds ...netip.AddrPort) *entryProcess {
	p := &entryProcess{logs: &messages{}, done: make(chan error, 1), file: filepath.Join(t.TempDir(), "settings.json")}
	p.settings = gatewaysettings.Settings{
		Name: name, DataCentre: "x", Client: listenOnce(t), Ready: listenOnce(t), Peer: listenOnce(t), Admin: listenOnce(t), Store: store,
		Seeds: seeds, Stop: 5 * time.Second, Cores: 1, Memory: 200 << 20, Retries: gatewaysettings.Retries{Share: 0.2, Slack: 50, Processes: 4},
	}
	must.NoError(t, os.WriteFile(p.file, []byte("not read at the start"), 0o600))
	process, err := gatewayprocess.New(p.settings, p.file, time.Now(), new(expvar.Map), &log.Logger{Handler: p.logs, Level: log.InfoLevel})
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	p.stop = cancel
	go func() { p.done <- process.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		select {
		case <-p.done:
		case <-time.After(10 * time.Second):
			t.Error("the process does not stop")
		}
	})
	return p
}

// get asks for a key and returns the status.
func (p *entryProcess) get(path, id string, key int) (int, string) {
	r, err := http.NewRequest(http.MethodPost, "http://"+p.settings.Client.String()+path, strings.NewReader("body of "+id))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = "h.example"
	r.Header.Set("Bramleystand-Attempt-Id", id)
	r.Header.Set("Bramleystand-Deadline-Ms", "3000")
	r.Header.Set("Bramleystand-Shard-Key", fmt.Sprint(key))
	r.Close = true
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(body)
}

func (p *entryProcess) ready() bool {
	response, err := http.Get("http://" + p.settings.Ready.String() + "/v1/readyz")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// version returns the version of the configuration in force.
func (p *entryProcess) version() int {
	response, err := http.Get("http://" + p.settings.Admin.String() + "/dump")
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	var dump struct {
		Configuration struct{ Version int } `json:"configuration"`
	}
	if err := json.NewDecoder(response.Body).Decode(&dump); err != nil {
		return 0
	}
	return dump.Configuration.Version
}

// eventually waits until a condition holds.
func eventually(t *testing.T, longest time.Duration, what string, f func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(f), wait.Timeout(longest), wait.Gap(20*time.Millisecond)), must.Sprint(what))
}

// keys are those that the tests look at.
var keys = []int{0, 1, 9999, 20000, 33333, 50000, 65535}

// served reports whether a process serves all keys.
func (p *entryProcess) served(round string) bool {
	for _, k := range keys {
		id := fmt.Sprintf("%s-%s-%d", p.settings.Name, round, k)
		if status, body := p.get("/get/x", id, k); status != 200 || body != "body of "+id {
			return false
		}
	}
	return true
}

// Guards against the whole path: a deployment that starts, servers that join and leave, an outage of
// the store, and a process that starts in it must keep every key with one owner and served.
func TestWholePath(t *testing.T) {
	t.Parallel()
	s := newStore(t)
	a, b := newBackend(t, "a"), newBackend(t, "b")
	first := start(t, s, "first")
	second := start(t, s, "second", first.settings.Peer)
	must.False(t, first.ready())
	status, _ := first.get("/get/x", "early", 1)
	must.Eq(t, http.StatusServiceUnavailable, status)
	s.put("config", "main", fmt.Sprintf(configuration, 3))
	s.put("servers", "a", a.entry("ready"))
	s.put("servers", "b", b.entry("ready"))
	for _, p := range []*entryProcess{first, second} {
		eventually(t, 10*time.Second, p.settings.Name+" serves", func() bool { return p.ready() && p.served("start") })
	}
	must.Eq(t, len(keys), a.holds(keys)+b.holds(keys))
	status, _ = first.get("/nowhere/x", "lost", 1)
	must.Eq(t, http.StatusNotFound, status)

	// A server joins and gets keys; one leaves and loses all of them.
	c := newBackend(t, "c")
	s.put("servers", "c", c.entry("ready"))
	s.put("servers", "a", a.entry("draining"))
	eventually(t, 5*time.Second, "a is empty", func() bool { return a.holds(keys) == 0 })
	eventually(t, 5*time.Second, "all keys are served again", func() bool { return first.served("left") && second.served("left") })
	s.remove("servers", "a")

	// In an outage what is known goes on, and a new process learns it from a peer.
	s.setDown(true)
	third := start(t, s, "third", first.settings.Peer, second.settings.Peer)
	eventually(t, 5*time.Second, "a process that starts in the outage serves", func() bool { return third.ready() && third.served("outage") })
	// The outage is longer than the hold of a grant, which must be renewed meanwhile.
	for i, end := 0, time.Now().Add(4*time.Second); time.Now().Before(end); i++ {
		must.True(t, first.served(fmt.Sprint("during-", i)))
	}
	s.setDown(false)

	// A final action runs once, whichever process gets it.
	for i, p := range []*entryProcess{first, second, third} {
		id := fmt.Sprint("final-", i)
		status, _ := p.get("/final/x", id, 9999)
		must.Eq(t, 200, status)
		must.Eq(t, 1, a.ran[id]+b.ran[id]+c.ran[id])
	}
}

// Guards against keys that nobody serves after the coordinator has stopped or was lost.
func TestCoordinatorLost(t *testing.T) {
	t.Parallel()
	s := newStore(t)
	a, b := newBackend(t, "a"), newBackend(t, "b")
	s.put("config", "main", fmt.Sprintf(configuration, 3))
	s.put("servers", "a", a.entry("ready"))
	s.put("servers", "b", b.entry("ready"))
	first := start(t, s, "first")
	eventually(t, 10*time.Second, "first serves", func() bool { return first.served("start") })
	second := start(t, s, "second")
	eventually(t, 10*time.Second, "second serves", func() bool { return second.ready() && second.served("start") })
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(first.stop)
	end := time.Now().Add(6 * time.Second)
	for i := 0; time.Now().Before(end); i++ {
		if !second.served(fmt.Sprint("after-", i)) {
			t.Fatal("keys are not served after the coordinator has stopped")
		}
	}
}

// Guards against a process that ends on SIGHUP, or that takes a file with errors.
func TestHangup(t *testing.T) {
	s := newStore(t)
	p := start(t, s, "first")
	has := func(message string) func() bool {
		return func() bool { return p.logs.has(message) }
	}
	eventually(t, 5*time.Second, "it has started", has("started"))
	must.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	eventually(t, 5*time.Second, "bad settings are refused", has("settings refused; the previous ones stay in force"))
	good := fmt.Sprintf(`{"name":"first","centre":"x","client":"%s","ready":"%s","peer":"%s","admin":"%s","store":"%s","seeds":[],"stop":"5s","retries":{"share":0.1,"slack":9,"processes":3},"cores":{"share":1,"speed":1},"memory":100,"logs":{"lines":200,"bytes":65536}}`,
		p.settings.Client, p.settings.Ready, p.settings.Peer, p.settings.Admin, p.settings.Store)
	must.NoError(t, os.WriteFile(p.file, []byte(good), 0o600))
	eventually(t, 5*time.Second, "good settings are read without a signal", has("settings read"))
}

// Guards against keys that nobody serves because the coordinator is stopped while the store is down.
func TestCoordinatorStoppedInOutage(t *testing.T) {
	t.Parallel()
	s := newStore(t)
	a := newBackend(t, "a")
	s.put("config", "main", fmt.Sprintf(configuration, 3))
	s.put("servers", "a", a.entry("ready"))
	first := start(t, s, "first")
	eventually(t, 10*time.Second, "first serves", func() bool { return first.served("start") })
	second := start(t, s, "second")
	eventually(t, 10*time.Second, "second serves", func() bool { return second.ready() && second.served("start") })
	s.setDown(true)
	stopped := time.Now()
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(first.stop)
	// Without the renewals of the stopping process the grants lapse after 3 s.
	for time.Since(stopped) < 4500*time.Millisecond {
		must.True(t, second.served(fmt.Sprint("stopped-", time.Since(stopped))))
	}
	s.setDown(false)
	eventually(t, 5*time.Second, "second serves on", func() bool { return second.served(fmt.Sprint("up-", time.Since(stopped))) })
}

// Guards against store calls that grow with the number of processes times that of the changes,
// and against a process that does not get the changes which the coordinator has seen.
func TestChangesPassedOn(t *testing.T) {
	t.Parallel()
	s := newStore(t)
	a := newBackend(t, "a")
	s.put("config", "main", fmt.Sprintf(configuration, 3))
	s.put("servers", "a", a.entry("ready"))
	var processes []*entryProcess
	for _, name := range []string{"first", "second", "third", "fourth"} {
		p := start(t, s, name)
		processes = append(processes, p)
		eventually(t, 10*time.Second, name+" serves", func() bool { return p.served("start") })
	}
	before := s.count()
	const changes = 20
	pace := time.NewTicker(200 * time.Millisecond)
	defer pace.Stop()
	for i := range changes {
		<-pace.C
		s.put("config", "main", fmt.Sprintf(configuration, 4+i))
		s.put("servers", "b", a.entry("draining"))
	}
	s.remove("servers", "b")
	for _, p := range processes {
		eventually(t, 2*time.Second, "the last configuration is in force", func() bool { return p.version() == 3+changes })
	}
	// The coordinator's watches and lock take some 60 calls in the 4 s. Each change would be two more for
	// each of the other processes.
	must.Less(t, 100, s.count()-before)
}

// Guards against changes that come too late because the coordinator, which passes them on, is
// turned away by the store while others are served.
func TestCoordinatorTurnedAway(t *testing.T) {
	t.Parallel()
	s := newStore(t)
	d := s.newFrontend(t)
	a := newBackend(t, "a")
	s.put("config", "main", fmt.Sprintf(configuration, 3))
	s.put("servers", "a", a.entry("ready"))
	first := startAt(t, d.address, "first")
	eventually(t, 10*time.Second, "first serves", func() bool { return first.served("start") })
	second := start(t, s, "second")
	eventually(t, 10*time.Second, "second serves", func() bool { return second.served("start") })
	s.put("config", "main", fmt.Sprintf(configuration, 4))
	eventually(t, time.Second, "second gets changes", func() bool { return second.version() == 4 })
	d.closed.Store(true)
	s.put("config", "main", fmt.Sprintf(configuration, 5))
	// The platform allows 2 s.
	eventually(t, 2*time.Second, "second gets the change", func() bool { return second.version() == 5 })
}
