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

const configurationFormat = `{"version":%d,"routes":{"get":{"host":"h.example","pathPrefix":"/get/","routeType":"idempotent","timeoutMs":2000,"sloMs":500,"priority":0,"service":"keyed","attempts":2},
"final":{"host":"h.example","pathPrefix":"/final/","routeType":"non_idempotent","timeoutMs":2000,"sloMs":500,"priority":1,"service":"keyed","attempts":2}},
"services":{"keyed":{"healthPath":"/h","maxConns":100,"sharded":true,"warmS":1}},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// testProcess is a running entry process with its log messages.
type testProcess struct {
	settings gatewaysettings.Settings
	file     string
	logs     *recordedMessages
	metrics  *expvar.Map
	stop     context.CancelFunc
	done     chan error
}

// recordedMessages is a log handler that keeps the messages.
type recordedMessages struct {
	mu  sync.Mutex
	all []string
}

// HandleLog implements log.Handler.
func (m *recordedMessages) HandleLog(e *log.Entry) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.all = append(m.all, e.Message)
	return nil
}

func (m *recordedMessages) logged(message string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Contains(m.all, message)
}

func (m *recordedMessages) count(message string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, logged := range m.all {
		if logged == message {
			n++
		}
	}
	return n
}

// startProcess runs a process on loopback.
func startProcess(t *testing.T, s *fakeStore, name string, seeds ...netip.AddrPort) *testProcess {
	return startProcessWithStore(t, s.address, name, seeds...)
}

// startProcessWithStore runs a process that uses the store at the given address.
func startProcessWithStore(t *testing.T, storeAddress netip.AddrPort, name string, seeds ...netip.AddrPort) *testProcess {
	return startProcessWithStop(t, 5*time.Second, storeAddress, name, seeds...)
}

// startProcessWithStop is startProcessWithStore with the stop timeout.
func startProcessWithStop(t *testing.T, stop time.Duration, storeAddress netip.AddrPort, name string, seeds ...netip.AddrPort) *testProcess {
	p := &testProcess{logs: &recordedMessages{}, metrics: new(expvar.Map), done: make(chan error, 1), file: filepath.Join(t.TempDir(), "settings.json")}
	p.settings = gatewaysettings.Settings{
		Name: name, DataCentre: "x", ClientAddress: unusedAddress(t), ReadyAddress: unusedAddress(t), PeerAddress: unusedAddress(t), AdminAddress: unusedAddress(t), Store: storeAddress,
		Seeds: seeds, Stop: stop, Evacuation: evacuationTime, Cores: 1, MemoryLimit: 200 << 20, RetryBudget: gatewaysettings.RetryBudget{Share: 0.2, Burst: 50, Processes: 4},
	}
	must.NoError(t, os.WriteFile(p.file, []byte("not read at the start"), 0o600))
	process, err := gatewayprocess.New(p.settings, p.file, time.Now(), p.metrics, &log.Logger{Handler: p.logs, Level: log.InfoLevel})
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

// send sends a request for a key and returns the status and body of the response, or zero and the
// error.
func (p *testProcess) send(path, id string, key int) (int, string) {
	return p.sendWithin(3*time.Second, path, id, key)
}

// sendWithin is send with the time until the deadline of the request.
func (p *testProcess) sendWithin(left time.Duration, path, id string, key int) (int, string) {
	response, err := p.exchange(left, path, id, key)
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

// exchange sends a request on a connection of its own and returns the response, whose body must be closed.
func (p *testProcess) exchange(left time.Duration, path, id string, key int) (*http.Response, error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+p.settings.ClientAddress.String()+path, strings.NewReader("body of "+id))
	if err != nil {
		return nil, err
	}
	r.Host = "h.example"
	r.Header.Set("Bramleystand-Attempt-Id", id)
	r.Header.Set("Bramleystand-Deadline-Ms", fmt.Sprint(left.Milliseconds()))
	r.Header.Set("Bramleystand-Shard-Key", fmt.Sprint(key))
	r.Close = true
	return http.DefaultClient.Do(r)
}

func (p *testProcess) isReady() bool {
	response, err := http.Get("http://" + p.settings.ReadyAddress.String() + "/v1/readyz")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// configurationVersion returns the version of the configuration in force, or zero.
func (p *testProcess) configurationVersion() int {
	response, err := http.Get("http://" + p.settings.AdminAddress.String() + "/dump")
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

// configurationAge returns the metric of the time in ms since the store answered for the configuration.
func (p *testProcess) configurationAge() int {
	var age struct{ Configuration int }
	if err := json.Unmarshal([]byte(p.metrics.Get("age").String()), &age); err != nil {
		return 0
	}
	return age.Configuration
}

// eventually waits until a condition holds and fails the test at the timeout.
func eventually(t *testing.T, timeout time.Duration, what string, f func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(f), wait.Timeout(timeout), wait.Gap(20*time.Millisecond)), must.Sprint(what))
}

// testKeys are the keys for which the tests send requests.
var testKeys = []int{0, 1, 9999, 20000, 33333, 50000, 65535}

// servesAllKeys reports whether a process serves requests for all test keys.
func (p *testProcess) servesAllKeys(idPrefix string) bool {
	for _, k := range testKeys {
		id := fmt.Sprintf("%s-%s-%d", p.settings.Name, idPrefix, k)
		if status, body := p.send("/get/x", id, k); status != 200 || body != "body of "+id {
			return false
		}
	}
	return true
}

// Guards against keys that are not served or have two owners while a deployment starts, backend servers
// join and leave, the store fails, and a process starts during that outage.
func TestWholePath(t *testing.T) {
	t.Parallel()
	s := newFakeStore(t)
	a, b := newFakeBackend(t, "a"), newFakeBackend(t, "b")
	first := startProcess(t, s, "first")
	second := startProcess(t, s, "second", first.settings.PeerAddress)
	must.False(t, first.isReady())
	status, _ := first.send("/get/x", "early", 1)
	must.Eq(t, http.StatusServiceUnavailable, status)
	s.put("config", "main", fmt.Sprintf(configurationFormat, 3))
	s.put("servers", "a", a.registryEntry("ready"))
	s.put("servers", "b", b.registryEntry("ready"))
	for _, p := range []*testProcess{first, second} {
		eventually(t, 10*time.Second, p.settings.Name+" serves", func() bool { return p.isReady() && p.servesAllKeys("start") })
	}
	must.Eq(t, len(testKeys), a.heldKeys(testKeys)+b.heldKeys(testKeys))
	status, _ = first.send("/nowhere/x", "lost", 1)
	must.Eq(t, http.StatusNotFound, status)

	// One server joins and gets keys; another one drains and loses all of its keys.
	c := newFakeBackend(t, "c")
	s.put("servers", "c", c.registryEntry("ready"))
	s.put("servers", "a", a.registryEntry("draining"))
	eventually(t, 5*time.Second, "a holds no keys", func() bool { return a.heldKeys(testKeys) == 0 })
	eventually(t, 5*time.Second, "all keys are served again", func() bool { return first.servesAllKeys("left") && second.servesAllKeys("left") })
	s.remove("servers", "a")

	// During an outage of the store, processes continue with the objects that they have, and a new
	// process loads them from a peer.
	s.setDown(true)
	third := startProcess(t, s, "third", first.settings.PeerAddress, second.settings.PeerAddress)
	eventually(t, 5*time.Second, "a process that starts in the outage serves", func() bool { return third.isReady() && third.servesAllKeys("outage") })
	// The outage lasts longer than a grant, so grants must be renewed during it.
	for i, end := 0, time.Now().Add(4*time.Second); time.Now().Before(end); i++ {
		must.True(t, first.servesAllKeys(fmt.Sprint("during-", i)))
	}
	s.setDown(false)

	// A non-idempotent request runs once, whichever process receives it.
	for i, p := range []*testProcess{first, second, third} {
		id := fmt.Sprint("final-", i)
		status, _ := p.send("/final/x", id, 9999)
		must.Eq(t, 200, status)
		must.Eq(t, 1, a.executions[id]+b.executions[id]+c.executions[id])
	}
}

// Guards against keys that no server owns after the coordinator has stopped.
func TestCoordinatorStopped(t *testing.T) {
	t.Parallel()
	s := newFakeStore(t)
	a, b := newFakeBackend(t, "a"), newFakeBackend(t, "b")
	s.put("config", "main", fmt.Sprintf(configurationFormat, 3))
	s.put("servers", "a", a.registryEntry("ready"))
	s.put("servers", "b", b.registryEntry("ready"))
	first := startProcess(t, s, "first")
	eventually(t, 10*time.Second, "first serves", func() bool { return first.servesAllKeys("start") })
	second := startProcess(t, s, "second")
	eventually(t, 10*time.Second, "second serves", func() bool { return second.isReady() && second.servesAllKeys("start") })
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(first.stop)
	end := time.Now().Add(6 * time.Second)
	for i := 0; time.Now().Before(end); i++ {
		if !second.servesAllKeys(fmt.Sprint("after-", i)) {
			t.Fatal("keys are not served after the coordinator has stopped")
		}
	}
}

// Guards against a request that waits for a slot until its process is killed at the stop timeout.
func TestWaitingRequestAnsweredBeforeStop(t *testing.T) {
	t.Parallel()
	s := newFakeStore(t)
	a := newFakeBackend(t, "a")
	s.put("config", "main", strings.NewReplacer(`"timeoutMs":2000`, `"timeoutMs":60000`, `"sloMs":500`, `"sloMs":30000`).Replace(fmt.Sprintf(configurationFormat, 3)))
	s.put("servers", "a", a.registryEntry("ready"))
	p := startProcess(t, s, "first")
	eventually(t, 10*time.Second, "the process serves", func() bool { return p.servesAllKeys("start") })
	const slots = 4
	running := make(chan int, slots)
	for i := range slots {
		go func() {
			status, _ := p.sendWithin(time.Minute, "/final/x", fmt.Sprint("slow-", i), 1)
			running <- status
		}()
	}
	eventually(t, 5*time.Second, "all slots are used", func() bool { return a.slow.Load() == slots })
	waiting := make(chan int, 1)
	go func() {
		status, _ := p.sendWithin(time.Minute, "/final/x", "waiting", 1)
		waiting <- status
	}()
	p.stop()
	select {
	case status := <-waiting:
		must.Eq(t, http.StatusServiceUnavailable, status)
	case <-p.done:
		t.Fatal("the process has stopped before the response")
	}
	close(a.finishSlow)
	for range slots {
		must.Eq(t, http.StatusOK, <-running)
	}
}

// Guards against requests that end without an answer because their server is silent until the process is
// killed at the stop timeout.
func TestSilentServerAnsweredBeforeStop(t *testing.T) {
	t.Parallel()
	s := newFakeStore(t)
	a := newFakeBackend(t, "a")
	defer close(a.finishSlow)
	s.put("config", "main", strings.NewReplacer(`"timeoutMs":2000`, `"timeoutMs":60000`).Replace(fmt.Sprintf(configurationFormat, 3)))
	s.put("servers", "a", a.registryEntry("ready"))
	const stop = 2 * time.Second
	p := startProcessWithStop(t, stop, s.address, "first")
	eventually(t, 10*time.Second, "the process serves", func() bool { return p.servesAllKeys("start") })
	statuses := make(chan int, 2)
	for _, path := range []string{"/get/x", "/final/x"} {
		go func() {
			status, _ := p.sendWithin(time.Minute, path, "slow-"+path, 1)
			statuses <- status
		}()
	}
	eventually(t, 5*time.Second, "the server has both requests", func() bool { return a.slow.Load() == 2 })
	stopped := time.Now()
	p.stop()
	for range 2 {
		select {
		case status := <-statuses:
			must.Eq(t, http.StatusGatewayTimeout, status)
			must.GreaterEq(t, stop*5/6, time.Since(stopped))
		case <-time.After(stop - time.Since(stopped)):
			t.Fatal("no answer before the stop timeout")
		}
	}
	err := <-p.done
	must.Less(t, stop, time.Since(stopped))
	must.NoError(t, err)
	p.done <- nil
}

// Guards against a process that terminates on SIGHUP or applies a settings file with errors, and
// against a changed file that is not read without a signal.
func TestSettingsReload(t *testing.T) {
	s := newFakeStore(t)
	p := startProcess(t, s, "first")
	logged := func(message string) func() bool {
		return func() bool { return p.logs.logged(message) }
	}
	eventually(t, 5*time.Second, "the process has started", logged("started"))
	must.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	eventually(t, 5*time.Second, "invalid settings are refused", logged("settings refused; the previous ones stay in force"))
	validSettings := fmt.Sprintf(`{"name":"first","centre":"x","client":"%s","ready":"%s","peer":"%s","admin":"%s","store":"%s","seeds":[],"stop":"5s","retries":{"share":0.1,"slack":9,"processes":3},"cores":{"share":1,"speed":1},"memory":100,"logs":{"lines":200,"bytes":65536}}`,
		p.settings.ClientAddress, p.settings.ReadyAddress, p.settings.PeerAddress, p.settings.AdminAddress, p.settings.Store)
	must.NoError(t, os.WriteFile(p.file, []byte(validSettings), 0o600))
	eventually(t, 5*time.Second, "valid settings are read without a signal", logged("settings read"))
}

// Guards against keys that no server owns because the coordinator is stopped during an outage of
// the store, when it can't resign and no other process can take over.
func TestCoordinatorStoppedInOutage(t *testing.T) {
	t.Parallel()
	s := newFakeStore(t)
	a := newFakeBackend(t, "a")
	s.put("config", "main", fmt.Sprintf(configurationFormat, 3))
	s.put("servers", "a", a.registryEntry("ready"))
	first := startProcess(t, s, "first")
	eventually(t, 10*time.Second, "first serves", func() bool { return first.servesAllKeys("start") })
	second := startProcess(t, s, "second")
	eventually(t, 10*time.Second, "second serves", func() bool { return second.isReady() && second.servesAllKeys("start") })
	s.setDown(true)
	stopped := time.Now()
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(first.stop)
	// The grants would expire after 3 s if the stopping process did not renew them.
	for time.Since(stopped) < 4500*time.Millisecond {
		must.True(t, second.servesAllKeys(fmt.Sprint("stopped-", time.Since(stopped))))
	}
	s.setDown(false)
	eventually(t, 5*time.Second, "second still serves", func() bool { return second.servesAllKeys(fmt.Sprint("up-", time.Since(stopped))) })
}

// Guards against a number of store calls that grows with processes times changes, and against a process
// that does not receive the changes which the coordinator has read.
func TestCoordinatorForwardsChanges(t *testing.T) {
	t.Parallel()
	s := newFakeStore(t)
	a := newFakeBackend(t, "a")
	s.put("config", "main", fmt.Sprintf(configurationFormat, 3))
	s.put("servers", "a", a.registryEntry("ready"))
	var processes []*testProcess
	for _, name := range []string{"first", "second", "third", "fourth"} {
		p := startProcess(t, s, name)
		processes = append(processes, p)
		eventually(t, 10*time.Second, name+" serves", func() bool { return p.servesAllKeys("start") })
	}
	before := s.callCount()
	const changes = 20
	ticker := time.NewTicker(200 * time.Millisecond)
	defer ticker.Stop()
	for i := range changes {
		<-ticker.C
		s.put("config", "main", fmt.Sprintf(configurationFormat, 4+i))
		s.put("servers", "b", a.registryEntry("draining"))
	}
	s.remove("servers", "b")
	for _, p := range processes {
		eventually(t, 2*time.Second, "the last configuration is in force", func() bool { return p.configurationVersion() == 3+changes })
	}
	// The watches and the lock of the coordinator take some 60 calls in the 4 s. If the other processes
	// watched the store too, each change would take two more calls for each of them.
	must.Less(t, 100, s.callCount()-before)
}

// Guards against changes that arrive too late because the store rejects the calls of the coordinator,
// which forwards the changes, but not those of the other processes.
func TestCoordinatorTurnedAway(t *testing.T) {
	t.Parallel()
	s := newFakeStore(t)
	f := s.newFrontend(t)
	a := newFakeBackend(t, "a")
	s.put("config", "main", fmt.Sprintf(configurationFormat, 3))
	s.put("servers", "a", a.registryEntry("ready"))
	first := startProcessWithStore(t, f.address, "first")
	eventually(t, 10*time.Second, "first serves", func() bool { return first.servesAllKeys("start") })
	second := startProcess(t, s, "second")
	eventually(t, 10*time.Second, "second serves", func() bool { return second.servesAllKeys("start") })
	s.put("config", "main", fmt.Sprintf(configurationFormat, 4))
	eventually(t, time.Second, "second gets changes", func() bool { return second.configurationVersion() == 4 })
	f.rejecting.Store(true)
	s.put("config", "main", fmt.Sprintf(configurationFormat, 5))
	// The platform requires a change to be in force within 2 s.
	eventually(t, 2*time.Second, "second gets the change", func() bool { return second.configurationVersion() == 5 })
}

// paddedConfiguration returns a configuration that is large enough to be sent compressed.
func paddedConfiguration(version int) string {
	routes := ""
	for i := range 20 {
		routes += fmt.Sprintf(`"more-%d":{"host":"h.example","pathPrefix":"/more-%d/","routeType":"idempotent","timeoutMs":2000,"sloMs":500,"priority":0,"service":"keyed","attempts":2},`, i, i)
	}
	return strings.Replace(fmt.Sprintf(configurationFormat, version), `"routes":{`, `"routes":{`+routes, 1)
}

// restoreTest is a deployment whose store loses the latest configurations in a restore.
type restoreTest struct {
	store     *fakeStore
	processes []*testProcess
	copied    storeCopy
	// reused is the revision of version 4, which the restored store assigns again.
	reused uint64
}

func newRestoreTest(t *testing.T) *restoreTest {
	s := newFakeStore(t)
	a := newFakeBackend(t, "a")
	s.put("config", "main", paddedConfiguration(3))
	s.put("servers", "a", a.registryEntry("ready"))
	r := &restoreTest{store: s}
	for _, name := range []string{"first", "second", "third"} {
		p := startProcess(t, s, name)
		r.processes = append(r.processes, p)
		eventually(t, 10*time.Second, name+" serves", func() bool { return p.servesAllKeys("start") })
	}
	r.mustForwardChanges(t)
	r.copied = s.makeCopy()
	r.reused = r.copied.revision + 1000
	s.putAt(r.reused, "config", "main", paddedConfiguration(4))
	must.Eq(t, r.reused, s.revisionOf("config", "main"))
	r.mustBeInForce(t, 4)
	s.put("config", "main", paddedConfiguration(5))
	r.mustBeInForce(t, 5)
	return r
}

// mustBeInForce checks that a version is in force at all processes within the 2 s that the platform allows.
func (r *restoreTest) mustBeInForce(t *testing.T, version int) {
	t.Helper()
	for _, p := range r.processes {
		eventually(t, 2*time.Second, fmt.Sprintf("version %d is in force at %s", version, p.settings.Name), func() bool { return p.configurationVersion() == version })
	}
}

// mustForwardChanges waits until one process watches the store and forwards the changes to the others. A
// watch waits for 0.6 s, so a process with older copies does not watch.
func (r *restoreTest) mustForwardChanges(t *testing.T) {
	t.Helper()
	eventually(t, 10*time.Second, "one process watches for all", func() bool {
		idle := 0
		for _, p := range r.processes {
			if p.configurationAge() > 900 {
				idle++
			}
		}
		return idle == 2
	})
}

// mustLogTwice waits until all processes have logged a message for both kinds of objects.
func (r *restoreTest) mustLogTwice(t *testing.T, message string) {
	t.Helper()
	for _, p := range r.processes {
		eventually(t, 5*time.Second, p.settings.Name+": "+message, func() bool { return p.logs.count(message) >= 2 })
	}
}

// Guards against a configuration that is dropped because its revision is below that of a lost one.
func TestConfigurationWithLowerRevisionAfterRestore(t *testing.T) {
	t.Parallel()
	r := newRestoreTest(t)
	r.store.restore(r.copied)
	r.store.put("config", "main", paddedConfiguration(6))
	must.Less(t, r.reused, r.store.revisionOf("config", "main"))
	r.mustBeInForce(t, 6)
}

// Guards against an older configuration that is sent because its revision has been assigned again.
func TestConfigurationWithReusedRevisionAfterRestore(t *testing.T) {
	t.Parallel()
	r := newRestoreTest(t)
	r.store.setDown(true)
	r.mustLogTwice(t, "store can't be read")
	r.store.restore(r.copied)
	r.store.setDown(false)
	r.mustLogTwice(t, "store can be read again")
	r.mustForwardChanges(t)
	r.store.putAt(r.reused, "config", "main", paddedConfiguration(6))
	must.Eq(t, r.reused, r.store.revisionOf("config", "main"))
	r.mustBeInForce(t, 6)
}
