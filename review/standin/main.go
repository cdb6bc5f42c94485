// Command standin plays the cases of the review that are scripts. It has a store, upstreams and clients that follow
// the users' pages, and starts the router as a separate process with the command of the deploy file.
//
//	standin SCENARIO CASE-FOLDER
//
// It exits with 1 if the rule was broken, with 0 if it held and with 2 if the case could not run. TROUBLE=0 leaves the
// disruption out.
package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"
)

// Figures of the small installation that is played; see the site file chikushi-xgate.
const (
	memoryMB     = 284
	graceS       = 6
	linkBytes    = 1000e6 / 8
	maxBodyBytes = 67108864
	heartbeat    = 870 * time.Millisecond
	slots        = 6
	queueLength  = 16
)

var trouble = os.Getenv("TROUBLE") != "0"

// record writes the lines of record.txt.
type record struct {
	mu    sync.Mutex
	begin time.Time
	file  *bufio.Writer
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(line)
}

func (r *record) flush() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.file.Flush()
}

func giveUp(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case could not run: "+format+"\n", args...)
	os.Exit(2)
}

// object is an object of the store.
type object struct {
	Kind, Name string
	Rev        uint64
	CreatedRev uint64
	Spec       json.RawMessage
}

func (o *object) encode() json.RawMessage {
	spec := o.Spec
	if len(spec) == 0 {
		spec = json.RawMessage("null")
	}
	return json.RawMessage(fmt.Sprintf(`{"metadata":{"name":%q,"rev":%d,"createdRev":%d,"finalizers":[],"deleting":false},"spec":%s,"status":null}`, o.Name, o.Rev, o.CreatedRev, spec))
}

type change struct {
	object
	deleted bool
}

// store is the platform's store.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]*object
	history  []change
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 100, objects: make(map[string]*object), changed: make(chan struct{})}
}

// commit applies a change and wakes the watches. The lock is held.
func (s *store) commit(c change) *object {
	key := c.Kind + "/" + c.Name
	old := s.objects[key]
	if old != nil && !c.deleted && bytes.Equal(old.Spec, c.Spec) {
		return old
	}
	s.revision++
	c.Rev, c.CreatedRev = s.revision, s.revision
	if old != nil {
		c.CreatedRev = old.CreatedRev
	}
	o := c.object
	if c.deleted {
		delete(s.objects, key)
	} else {
		s.objects[key] = &o
	}
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
	return &o
}

func (s *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		giveUp("encode %s/%s: %v", kind, name, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commit(change{object: object{Kind: kind, Name: name, Spec: data}})
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[kind+"/"+name] != nil {
		s.commit(change{object: object{Kind: kind, Name: name}, deleted: true})
	}
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	w.Header().Set("Content-Type", "application/json")
	if watch := r.URL.Query().Get("watch"); watch != "" {
		s.watch(w, r, kind, watch)
		return
	}
	body, _ := io.ReadAll(r.Body)
	var in struct {
		Metadata struct {
			Name string
			Rev  uint64
		}
		Spec json.RawMessage
	}
	if len(body) > 0 && json.Unmarshal(body, &in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == "" {
		name = in.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind+"/"+name]
	if r.Method == http.MethodGet && name == "" {
		items := []json.RawMessage{}
		for _, o := range s.objects {
			if o.Kind == kind {
				items = append(items, o.encode())
			}
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "hasMore": false, "storeRevision": s.revision})
		return
	}
	if o == nil && r.Method != http.MethodPost {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	switch r.Method {
	case http.MethodGet:
	case http.MethodDelete:
		s.commit(change{object: object{Kind: kind, Name: name}, deleted: true})
	case http.MethodPost, http.MethodPut:
		if o != nil && (r.Method == http.MethodPost || in.Metadata.Rev != 0 && in.Metadata.Rev != o.Rev) {
			w.WriteHeader(http.StatusConflict)
			break
		}
		o = s.commit(change{object: object{Kind: kind, Name: name, Spec: in.Spec}})
	}
	_, _ = w.Write(o.encode())
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind, watch string) {
	after, _ := strconv.ParseUint(watch, 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		events := []any{}
		for i := range s.history {
			if c := &s.history[i]; c.Kind == kind && c.Rev > after {
				events = append(events, map[string]any{"deleted": c.deleted, "object": c.encode()})
			}
		}
		changed, revision := s.changed, s.revision
		s.mu.Unlock()
		if len(events) > 0 || !waiting {
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// run is one run of a request at an upstream.
type run struct {
	server string
	// cut is true if the run was broken off.
	cut bool
}

// fleet is all upstreams, with what they ran.
type fleet struct {
	record *record
	work   func(*http.Request) time.Duration

	mu   sync.Mutex
	runs map[string][]*run
}

func (f *fleet) runsOf(id string) []run {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []run
	for _, r := range f.runs[id] {
		out = append(out, *r)
	}
	return out
}

// upstream is one upstream.
type upstream struct {
	fleet             *fleet
	id, service, addr string
	sharded           bool
	born              int64
	seq               int64
	slots             chan struct{}
	waiting           chan struct{}
	server            *http.Server
	// poison is called when the upstream begins to run a request; nil for none.
	poison      func(*upstream, *http.Request) bool
	registering sync.Mutex
	left        bool
	mu          sync.Mutex
	fences      [1 << 16]uint64
	expiries    [1 << 16]time.Time
	working     [1 << 16]int
}

func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		giveUp("listen: %v", err)
	}
	return l
}

func serve(h http.Handler) string {
	l := listen()
	server := &http.Server{Handler: h, IdleTimeout: 10 * time.Second}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String()
}

func (f *fleet) start(s *store, id, service string, sharded bool) *upstream {
	u := &upstream{fleet: f, id: id, service: service, sharded: sharded, born: time.Now().UnixMilli(), slots: make(chan struct{}, slots), waiting: make(chan struct{}, slots+queueLength)}
	u.listen("127.0.0.1:0")
	u.register(s)
	go func() {
		for range time.Tick(heartbeat) {
			u.register(s)
		}
	}()
	return u
}

// listen serves at an address.
func (u *upstream) listen(address string) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		giveUp("listen: %v", err)
	}
	u.addr = l.Addr().String()
	u.server = &http.Server{Handler: u, IdleTimeout: 10 * time.Second}
	go func() { _ = u.server.Serve(l) }()
}

// crash ends the upstream, which says nothing, and starts it again at its address, as a new instance.
func (u *upstream) crash(s *store, down time.Duration) {
	u.registering.Lock()
	defer u.registering.Unlock()
	if u.left {
		return
	}
	u.left = true
	_ = u.server.Close()
	go func() {
		time.Sleep(down)
		next := &upstream{fleet: u.fleet, id: fmt.Sprintf("%s-%d", u.id, time.Now().UnixMilli()), service: u.service, sharded: u.sharded, born: time.Now().UnixMilli(), slots: make(chan struct{}, slots), waiting: make(chan struct{}, slots+queueLength), poison: u.poison}
		next.listen(u.addr)
		s.remove("servers", u.id)
		next.register(s)
		for range time.Tick(heartbeat) {
			next.register(s)
		}
	}()
}

// leave removes the upstream's entry for good. The upstream goes on serving.
func (u *upstream) leave(s *store) {
	u.registering.Lock()
	defer u.registering.Unlock()
	u.left = true
	s.remove("servers", u.id)
}

func (u *upstream) register(s *store) {
	u.registering.Lock()
	defer u.registering.Unlock()
	if u.left {
		return
	}
	u.seq++
	s.put("servers", u.id, map[string]any{
		"service": u.service, "address": u.addr, "zone": "fukuoka-a", "version": "v1", "maxConcurrency": slots,
		"state": "ready", "warmupLeftMs": 0, "seq": u.seq, "born": u.born,
	})
}

// ServeHTTP implements http.Handler.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Bramleystand-Expect-Instance"); expected != "" && expected != u.id {
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
	id := r.Header.Get("Bramleystand-Attempt-Id")
	w.Header().Set("Bramleystand-Attempt-Id", id)
	refuse := func(status int) {
		w.Header().Set("Bramleystand-Not-Executed", "1")
		w.WriteHeader(status)
	}
	if id == "" {
		refuse(http.StatusBadRequest)
		return
	}
	select {
	case u.waiting <- struct{}{}:
		defer func() { <-u.waiting }()
	default:
		refuse(http.StatusServiceUnavailable)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		u.fleet.record.printf("%s: the body of %s broke off, it is not run", u.id, id)
		return
	}
	select {
	case u.slots <- struct{}{}:
		defer func() { <-u.slots }()
	case <-r.Context().Done():
		return
	}
	key, _ := strconv.ParseUint(r.Header.Get("Bramleystand-Shard-Key"), 10, 16)
	if u.sharded && !u.takeKey(key) {
		refuse(http.StatusMisdirectedRequest)
		return
	}
	if u.sharded {
		defer u.dropKey(key)
	}
	if u.poison != nil && u.poison(u, r) {
		return
	}
	this := &run{server: u.id}
	u.fleet.mu.Lock()
	u.fleet.runs[id] = append(u.fleet.runs[id], this)
	u.fleet.mu.Unlock()
	u.fleet.record.printf("%s runs %s", u.id, id)
	select {
	case <-time.After(u.fleet.work(r)):
	case <-r.Context().Done():
		u.fleet.mu.Lock()
		this.cut = true
		u.fleet.mu.Unlock()
		return
	}
	w.Header().Set("Bramleystand-Response-Signature", "1."+id)
	_, _ = io.WriteString(w, "done "+id)
}

func (u *upstream) takeKey(key uint64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !time.Now().Before(u.expiries[key]) {
		return false
	}
	u.working[key]++
	return true
}

func (u *upstream) dropKey(key uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.working[key]--
}

// order handles a grant or a release.
func (u *upstream) order(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	var in struct {
		From, Target int
		Fence        uint64
		HoldMs       int64
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil || in.From < 0 || in.Target > 65535 || in.From > in.Target {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	u.mu.Lock()
	for k := in.From; k <= in.Target; k++ {
		if r.URL.Path == "/v1/grant" && u.fences[k] > in.Fence {
			u.mu.Unlock()
			u.fleet.record.printf("%s refuses a grant of %d to %d with generation %d: 409", u.id, in.From, in.Target, in.Fence)
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	renewal := u.fences[in.From] == in.Fence && u.fences[in.Target] == in.Fence
	for k := in.From; k <= in.Target; k++ {
		if r.URL.Path == "/v1/release" {
			u.expiries[k] = time.Time{}
			continue
		}
		u.fences[k], u.expiries[k] = in.Fence, arrived.Add(time.Duration(in.HoldMs)*time.Millisecond)
	}
	u.mu.Unlock()
	if r.URL.Path == "/v1/grant" {
		if !renewal {
			u.fleet.record.printf("%s takes a grant of %d to %d with generation %d for %d ms (renewals are not listed)", u.id, in.From, in.Target, in.Fence, in.HoldMs)
		}
		return
	}
	u.fleet.record.printf("%s takes a release of %d to %d with generation %d", u.id, in.From, in.Target, in.Fence)
	for busy := true; busy; {
		busy = false
		u.mu.Lock()
		for k := in.From; k <= in.Target; k++ {
			busy = busy || u.working[k] > 0
		}
		u.mu.Unlock()
		if busy {
			time.Sleep(5 * time.Millisecond)
		}
	}
	w.Header().Set("Bramleystand-Handover", fmt.Sprintf("%016x", in.Fence))
}

// router is a process of the project with its settings.
type router struct {
	name, front, ready string
	control            string
	command            *exec.Cmd
	done               chan struct{}
	killed             bool
	// peak is the largest memory that was seen, in bytes.
	peak int64
}

// freePort returns an address whose port was free a moment ago.
func freePort() string {
	l := listen()
	defer l.Close()
	return l.Addr().String()
}

// startRouter starts a process as the deploy file says. Its log goes to a file in the temporary folder.
func startRouter(root, temp, name, storeAddress, seed string) *router {
	template, err := os.ReadFile(filepath.Join(root, "deploy/gateway.json"))
	if err != nil {
		giveUp("%v", err)
	}
	r := &router{name: name, front: freePort(), ready: freePort(), done: make(chan struct{})}
	control, admin := freePort(), freePort()
	r.control = control
	if seed == "" {
		seed = control
	}
	quoted := func(s string) string { return strconv.Quote(s) }
	settings := strings.NewReplacer(
		"{{nodeName|json}}", quoted(name), "{{zone|json}}", quoted("fukuoka-a"), "{{listen.front|json}}", quoted(r.front),
		"{{listen.ready|json}}", quoted(r.ready), "{{listen.control|json}}", quoted(control), "{{ip}}:{{internalPorts.0}}", admin,
		"{{provider.address|json}}", quoted(storeAddress), "{{#seeds}}{{.|json}}{{,}}{{/seeds}}", quoted(seed),
		"{{bounds.graceS}}", strconv.Itoa(graceS), "{{bounds.retryRatio}}", "0.2", "{{bounds.budgetSlack}}", "60",
		"{{limits.cpuShare}}", "0.32", "{{limits.cpus}}", "1", "{{limits.memoryMb}}", strconv.Itoa(memoryMB),
	).Replace(string(template))
	if strings.Contains(settings, "{{") {
		giveUp("the template has a placeholder that is not filled: %s", settings)
	}
	file := filepath.Join(temp, name+".conf")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		giveUp("%v", err)
	}
	output, err := os.Create(filepath.Join(temp, name+".log"))
	if err != nil {
		giveUp("%v", err)
	}
	r.command = exec.Command(filepath.Join(root, "target/entry"), "gateway", "--settings", file)
	r.command.Dir, r.command.Stdout, r.command.Stderr = root, output, output
	r.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	r.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + temp, "LANG=C", "BRAMLEYSTAND_SETTINGS=" + file}
	if err := r.command.Start(); err != nil {
		giveUp("start the router: %v", err)
	}
	go func() {
		_ = r.command.Wait()
		close(r.done)
	}()
	return r
}

// memory returns the anonymous memory of the process, without pages of the program's file.
func (r *router) memory() int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 10, 64)
			return kb << 10
		}
	}
	return 0
}

// limitMemory kills the process when it exceeds its memory, as the platform does.
func (r *router) limitMemory(log *record) {
	for {
		select {
		case <-r.done:
			return
		case <-time.After(2 * time.Millisecond):
		}
		used := r.memory()
		r.peak = max(r.peak, used)
		if used > memoryMB<<20 {
			r.killed = true
			log.printf("%s uses %d MB, its limit is %d MB: the platform kills it", r.name, used>>20, memoryMB)
			_ = r.command.Process.Kill()
			<-r.done
			return
		}
	}
}

func (r *router) awaitReady() {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + r.ready + "/v1/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
	giveUp("%s is not ready after 20 s", r.name)
}

func (r *router) stop() {
	select {
	case <-r.done:
	default:
		_ = r.command.Process.Kill()
		<-r.done
	}
}

const host = "wuny96.example"

// configuration has one route of each kind, as in the site file.
var configuration = map[string]any{
	"version": 7,
	"routes": map[string]any{
		"r-lookup":  map[string]any{"host": host, "pathPrefix": "/lookup/", "routeType": "idempotent", "timeoutMs": 1200, "sloMs": 500, "priority": 0, "service": "placement-registry", "attempts": 2},
		"r-confirm": map[string]any{"host": host, "pathPrefix": "/confirm/", "routeType": "non_idempotent", "timeoutMs": 1500, "sloMs": 800, "priority": 1, "service": "placement-registry", "attempts": 2},
		"r-upload":  map[string]any{"host": host, "pathPrefix": "/upload/", "routeType": "upload", "timeoutMs": 3000, "sloMs": 1500, "priority": 2, "service": "dossier-intake", "attempts": 2},
	},
	"services": map[string]any{
		"placement-registry": map[string]any{"healthPath": "/healthz", "maxConns": 120, "protocol": "h1", "tls": false, "sharded": true, "warmS": 3.0, "grants": "invoke"},
		"dossier-intake":     map[string]any{"healthPath": "/healthz", "maxConns": 120, "protocol": "h1", "tls": false},
	},
	"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": maxBodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
}

// answer is what a client has seen of a request.
type answer struct {
	status int
	signed bool
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return "closed with no answer (" + a.err.Error() + ")"
	}
	return fmt.Sprintf("%d, signed: %t", a.status, a.signed)
}

// keptClient sends requests one after the other on one connection, and opens a new one when it has ended.
type keptClient struct {
	front, name string
	conn        net.Conn
	reader      *bufio.Reader
	sent        int
}

// confirm sends one request. kept is true if the connection had carried one before.
func (c *keptClient) confirm() (id string, a answer, kept bool) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.front, time.Second)
		if err != nil {
			return "", answer{err: err}, false
		}
		c.conn, c.reader, c.sent = conn, bufio.NewReader(conn), 0
	}
	kept = c.sent > 0
	c.sent++
	id = fmt.Sprintf("%s-%d", c.name, time.Now().UnixNano())
	body := strings.Repeat("x", 4000)
	key := time.Now().UnixNano() % 65536
	_ = c.conn.SetDeadline(time.Now().Add(4 * time.Second))
	_, err := fmt.Fprintf(c.conn, "POST /confirm/%s HTTP/1.1\r\nHost: %s\r\nBramleystand-Attempt-Id: %s\r\nBramleystand-Deadline-Ms: 3000\r\nBramleystand-Shard-Key: %d\r\nContent-Length: %d\r\n\r\n%s", id, host, id, key, len(body), body)
	if err == nil {
		a, err = readAnswer(c.reader)
	}
	if err != nil || a.status == 0 {
		a.err = err
		_ = c.conn.Close()
		c.conn = nil
	}
	return id, a, kept
}

func readAnswer(r *bufio.Reader) (answer, error) {
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		return answer{}, err
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return answer{}, err
	}
	return answer{status: response.StatusCode, signed: response.Header.Get("Bramleystand-Response-Signature") != ""}, nil
}

// link shares the bandwidth of a machine's link among those who send to it.
type link struct {
	mu   sync.Mutex
	free time.Time
}

func (l *link) take(n int) {
	l.mu.Lock()
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(n) / linkBytes * float64(time.Second)))
	until := l.free
	l.mu.Unlock()
	time.Sleep(time.Until(until))
}

// upload sends one body of the given size, at the speed of the machine's link.
func upload(l *link, front, id string, size int, chunked bool) answer {
	conn, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
	framing := fmt.Sprintf("Content-Length: %d", size)
	if chunked {
		framing = "Transfer-Encoding: chunked"
	}
	_, _ = fmt.Fprintf(conn, "POST /upload/%s HTTP/1.1\r\nHost: %s\r\nBramleystand-Attempt-Id: %s\r\nBramleystand-Deadline-Ms: 3000\r\n%s\r\n\r\n", id, host, id, framing)
	piece := bytes.Repeat([]byte("dossier "), 32<<10)
	go func() {
		for left := size; left > 0; {
			n := min(left, len(piece))
			l.take(n)
			part := piece[:n]
			if chunked {
				part = append(append([]byte(fmt.Sprintf("%x\r\n", n)), part...), "\r\n"...)
			}
			if _, err := conn.Write(part); err != nil {
				return
			}
			left -= n
		}
		if chunked {
			_, _ = io.WriteString(conn, "0\r\n\r\n")
		}
	}()
	a, err := readAnswer(bufio.NewReader(conn))
	a.err = err
	return a
}

func main() {
	if len(os.Args) != 3 {
		giveUp("usage: standin SCENARIO CASE-FOLDER")
	}
	folder, err := filepath.Abs(os.Args[2])
	if err != nil {
		giveUp("%v", err)
	}
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		giveUp("%v", err)
	}
	log := &record{begin: time.Now(), file: bufio.NewWriter(file)}
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		giveUp("%v", err)
	}
	root := filepath.Dir(filepath.Dir(folder))
	scenario, ok := scenarios[os.Args[1]]
	if !ok {
		giveUp("there is no scenario %q", os.Args[1])
	}
	broken := scenario(log, root, temp)
	log.flush()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(temp)
	}
	if broken {
		fmt.Println("the rule was broken; see record.txt")
		os.Exit(1)
	}
	fmt.Println("the rule held")
}

var scenarios = map[string]func(log *record, root, temp string) bool{
	"large-uploads": largeUploads,
	"idle-clients":  idleClients,
	"odd-entry":     oddEntry,
	"poison":        poison,
}

// workTime returns how long an upstream works on a request: 200 to 600 ms, drawn from the request's identifier.
func workTime(r *http.Request) time.Duration {
	h := fnv.New32a()
	_, _ = io.WriteString(h, r.Header.Get("Bramleystand-Attempt-Id"))
	return time.Duration(200+h.Sum32()%400) * time.Millisecond
}

// overlap is a time in which two upstreams held the same keys.
type overlap struct {
	first, last int
	held        [2]string
	since       time.Time
	took        time.Duration
}

// watchHolders looks every 10 ms which keys several upstreams hold, until end is closed, and returns the longest
// time of one key.
func watchHolders(log *record, upstreams []*upstream, end chan struct{}) overlap {
	var longest overlap
	var since [1 << 16]time.Time
	reported := time.Time{}
	for {
		select {
		case <-end:
			return longest
		case <-time.After(10 * time.Millisecond):
		}
		now := time.Now()
		holders := make([][2]*upstream, 1<<16)
		for _, u := range upstreams {
			u.mu.Lock()
			for k := range u.expiries {
				if !now.Before(u.expiries[k]) {
					continue
				}
				if holders[k][0] == nil {
					holders[k][0] = u
				} else {
					holders[k][1] = u
				}
			}
			u.mu.Unlock()
		}
		shared, first := 0, 0
		for k := range holders {
			if holders[k][1] == nil {
				since[k] = time.Time{}
				continue
			}
			if shared == 0 {
				first = k
			}
			shared++
			if since[k].IsZero() {
				since[k] = now
			}
			if took := now.Sub(since[k]); took > longest.took {
				longest = overlap{first: k, last: k, held: [2]string{holders[k][0].id, holders[k][1].id}, since: since[k], took: took}
			}
		}
		if shared > 0 && now.Sub(reported) > 250*time.Millisecond {
			reported = now
			log.printf("%d keys have two holders; key %d is held by %s and %s", shared, first, holders[first][0].id, holders[first][1].id)
		}
	}
}

// oddEntry lets another writer leave an entry without the field version, which names no upstream to use. It reports
// whether two upstreams hold the same keys for over half a second.
func oddEntry(log *record, root, temp string) bool {
	const clients = 16
	s := newStore()
	storeAddress := serve(s)
	f := &fleet{record: log, runs: make(map[string][]*run), work: workTime}
	var registry []*upstream
	for i := range 4 {
		registry = append(registry, f.start(s, fmt.Sprintf("i-registry%d", i), "placement-registry", true))
		f.start(s, fmt.Sprintf("i-intake%d", i), "dossier-intake", false)
	}
	s.put("config", "main", configuration)
	r := startRouter(root, temp, "edge-fukuoka-a-1", storeAddress, "")
	defer r.stop()
	r.awaitReady()
	end, ended := make(chan struct{}), make(chan overlap)
	go func() { ended <- watchHolders(log, registry, end) }()
	var group sync.WaitGroup
	var served, failed atomic.Int64
	for i := range clients {
		c := &keptClient{front: r.front, name: fmt.Sprintf("confirm%d", i)}
		group.Go(func() {
			for {
				select {
				case <-end:
					return
				default:
				}
				id, a, _ := c.confirm()
				log.printf("%s: %v", id, a)
				if a.signed {
					served.Add(1)
				} else {
					failed.Add(1)
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	time.Sleep(5 * time.Second)
	log.printf("%d confirmations served, %d failed", served.Load(), failed.Load())
	if trouble {
		entry := map[string]any{
			"service": "placement-registry", "address": registry[0].addr, "zone": "fukuoka-a", "maxConcurrency": slots,
			"state": "ready", "warmupLeftMs": 0, "seq": 1, "born": time.Now().UnixMilli(),
		}
		data, _ := json.Marshal(entry)
		log.printf("another writer leaves servers/w-5c0e7a21: %s; the address is that of %s, which goes on", data, registry[0].id)
		s.put("servers", "w-5c0e7a21", entry)
	}
	time.Sleep(4 * time.Second)
	log.printf("%s is to leave: its entry is removed, and it goes on serving", registry[0].id)
	registry[0].leave(s)
	time.Sleep(6 * time.Second)
	close(end)
	longest := <-ended
	group.Wait()
	log.printf("%d confirmations served, %d failed", served.Load(), failed.Load())
	if longest.took > 0 {
		log.printf("key %d had two holders, %s and %s, for %d ms from %.3f s on", longest.first, longest.held[0], longest.held[1], longest.took.Milliseconds(), longest.since.Sub(log.begin).Seconds())
	}
	log.printf("longest time with two holders: %d ms (over 500 ms breaks the rule)", longest.took.Milliseconds())
	if served.Load() == 0 {
		giveUp("no request was served")
	}
	return longest.took > 500*time.Millisecond
}

// leader returns the name of the router that wrote to the store under a condition last: the holder of the lock.
func (s *store) leader(names []string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var latest *object
	for _, o := range s.objects {
		if o.Kind != "servers" && o.Kind != "config" && (latest == nil || o.Rev > latest.Rev) && strings.Contains(o.Kind, "lock") {
			latest = o
		}
	}
	for _, name := range names {
		if latest != nil && bytes.Contains(latest.Spec, []byte(strconv.Quote(name))) {
			return name
		}
	}
	return ""
}

// poison sends a request that crashes each upstream which runs it, again and again, while the router that leads is
// restarted three times, as planned work. It reports whether the request reaches upstreams in more than three retries that machines in touch
// have sent later than stableMs after the third crash.
func poison(log *record, root, temp string) bool {
	const (
		routers    = 4
		requests   = 10
		bystanders = 8
		interval   = 3500 * time.Millisecond
		stable     = 3 * time.Second
		down       = 4 * time.Second
	)
	s := newStore()
	storeAddress := serve(s)
	f := &fleet{record: log, runs: make(map[string][]*run), work: workTime}
	var mu sync.Mutex
	var crashes []time.Time
	arrived := make(map[string]bool)
	for i := range 4 {
		f.start(s, fmt.Sprintf("i-registry%d", i), "placement-registry", true)
	}
	for i := range 8 {
		u := f.start(s, fmt.Sprintf("i-intake%d", i), "dossier-intake", false)
		u.poison = func(u *upstream, r *http.Request) bool {
			if r.URL.Path != "/upload/poison" {
				return false
			}
			id := r.Header.Get("Bramleystand-Attempt-Id")
			mu.Lock()
			crashes = append(crashes, time.Now())
			arrived[id] = true
			log.printf("%s begins to run %s and crashes; that is crash %d", u.id, id, len(crashes))
			mu.Unlock()
			u.crash(s, down)
			return true
		}
	}
	s.put("config", "main", configuration)
	type machine struct {
		*router
		calmAt time.Time
	}
	machines := make([]*machine, routers)
	names := make([]string, routers)
	seed := ""
	start := func(i int) {
		r := startRouter(root, temp, names[i], storeAddress, seed)
		mu.Lock()
		machines[i] = &machine{router: r, calmAt: time.Now().Add(stable + time.Second)}
		mu.Unlock()
	}
	for i := range routers {
		names[i] = fmt.Sprintf("edge-fukuoka-a-%d", i+1)
		start(i)
		if i == 0 {
			seed = machines[0].control
		}
	}
	defer func() {
		for _, m := range machines {
			m.stop()
		}
	}()
	for _, m := range machines {
		m.awaitReady()
	}
	time.Sleep(4 * time.Second)
	log.printf("%d routers are ready, %s leads", routers, s.leader(names))
	restartLeader := func() {
		name := s.leader(names)
		i := slices.Index(names, name)
		if i < 0 {
			giveUp("no router leads")
		}
		log.printf("planned restart: SIGTERM to %s, which leads", name)
		_ = machines[i].command.Process.Signal(syscall.SIGTERM)
		<-machines[i].done
		start(i)
		machines[i].awaitReady()
		log.printf("%s runs again and is ready; %s leads", name, s.leader(names))
	}
	// Other clients send dossiers all the while.
	end := make(chan struct{})
	var group sync.WaitGroup
	var served, broken atomic.Int64
	for i := range bystanders {
		group.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-end:
					return
				default:
				}
				mu.Lock()
				m := machines[(i+n)%routers]
				mu.Unlock()
				id := fmt.Sprintf("dossier%d-%d", i, n)
				a := sendDossier(m.front, id, "/upload/"+id, "good dossier ")
				log.printf("%s through %s: %v", id, m.name, a)
				for _, r := range f.runsOf(id) {
					if r.cut {
						broken.Add(1)
					}
				}
				if a.signed {
					served.Add(1)
				} else {
					time.Sleep(200 * time.Millisecond)
				}
			}
		})
	}
	late := 0
	for n := range requests {
		time.Sleep(interval)
		var to *machine
		for k := range machines {
			if m := machines[(n+k)%routers]; time.Now().After(m.calmAt) {
				to = m
				break
			}
		}
		if to == nil {
			giveUp("no router is in touch")
		}
		mu.Lock()
		third := time.Time{}
		if len(crashes) >= 3 {
			third = crashes[2]
		}
		mu.Unlock()
		id := fmt.Sprintf("poison%d", n+1)
		sent := time.Now()
		a := sendDossier(to.front, id, "/upload/poison", "bad dossier ")
		mu.Lock()
		reached := arrived[id]
		mu.Unlock()
		if reached && !third.IsZero() && sent.After(third.Add(stable)) {
			late++
		}
		log.printf("%s through %s, which is in touch: %v; reached an upstream: %t; retries later than %v after the third crash: %d", id, to.name, a, reached, stable, late)
		if trouble && (n == 1 || n == 3 || n == 5) {
			time.Sleep(time.Second)
			restartLeader()
		}
	}
	close(end)
	group.Wait()
	log.printf("%d dossiers of other clients were served, %d were cut off by crashes while they ran", served.Load(), broken.Load())
	log.printf("%d crashes, %d of them by retries later than %v after the third (more than 3 break the rule)", len(crashes), late, stable)
	if len(crashes) < 3 {
		giveUp("the request has crashed fewer than three upstreams")
	}
	return late > 3
}

// sendDossier sends an upload on a new connection and waits for its answer.
func sendDossier(front, id, path, text string) answer {
	conn, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
	body := strings.Repeat(text, 1000)
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nBramleystand-Attempt-Id: %s\r\nBramleystand-Deadline-Ms: 3000\r\nContent-Length: %d\r\n\r\n%s", path, host, id, len(body), body)
	a, err := readAnswer(bufio.NewReader(conn))
	a.err = err
	return a
}

// limitDescriptors sets the limit of file descriptors of a running process.
func (r *router) limitDescriptors(n uint64) {
	limit := [2]uint64{n, n}
	const noFile = 7
	if _, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(r.command.Process.Pid), noFile, uintptr(unsafe.Pointer(&limit)), 0, 0, 0); errno != 0 {
		giveUp("limit the descriptors of the router: %v", errno)
	}
}

// descriptors returns the number of open descriptors of the process.
func (r *router) descriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", r.command.Process.Pid))
	return len(entries)
}

// lookup sends one idempotent request on a new connection and waits for its answer. The connection stays open unless the
// request fails.
func lookup(front, id string) (net.Conn, answer) {
	conn, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return nil, answer{err: err}
	}
	_ = conn.SetDeadline(time.Now().Add(1500 * time.Millisecond))
	key := time.Now().UnixNano() / 1000 % 65536
	_, err = fmt.Fprintf(conn, "GET /lookup/%s HTTP/1.1\r\nHost: %s\r\nBramleystand-Attempt-Id: %s\r\nBramleystand-Deadline-Ms: 1500\r\nBramleystand-Shard-Key: %d\r\n\r\n", id, host, id, key)
	var a answer
	if err == nil {
		a, err = readAnswer(bufio.NewReader(conn))
	}
	if err != nil {
		_ = conn.Close()
		return nil, answer{err: err}
	}
	return conn, a
}

// idleClients lets clients connect at the rate of a burst, send one request each and leave the connection idle. It
// reports whether a machine that says that it is ready takes no new connection for stableMs, while seven clients or more try.
func idleClients(log *record, root, temp string) bool {
	const (
		perSecond   = 60
		playTime    = 72 * time.Second
		idleTimeout = 15 * time.Second
		stable      = 3 * time.Second
		tries       = 5
		clients     = 8
	)
	s := newStore()
	storeAddress := serve(s)
	f := &fleet{record: log, runs: make(map[string][]*run), work: func(*http.Request) time.Duration { return 50 * time.Millisecond }}
	for i := range 4 {
		f.start(s, fmt.Sprintf("i-registry%d", i), "placement-registry", true)
		f.start(s, fmt.Sprintf("i-intake%d", i), "dossier-intake", false)
	}
	s.put("config", "main", configuration)
	r := startRouter(root, temp, "edge-fukuoka-a-1", storeAddress, "")
	defer r.stop()
	r.limitDescriptors(4100)
	r.awaitReady()
	// The balancer asks on one connection each second.
	balancer := &http.Client{Timeout: 900 * time.Millisecond}
	isReady := func() bool {
		response, err := balancer.Get("http://" + r.ready + "/v1/readyz")
		if err != nil {
			return false
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	}
	log.printf("%s is ready: %t; %d clients a second begin to connect", r.name, isReady(), perSecond)
	var served, failed atomic.Int64
	var idle sync.Map
	end := make(chan struct{})
	ticker := time.NewTicker(time.Second / perSecond)
	defer ticker.Stop()
	begin, nextLine := time.Now(), time.Now().Add(10*time.Second)
	for n := 0; time.Since(begin) < playTime; n++ {
		<-ticker.C
		go func() {
			id := fmt.Sprintf("lookup%d", n)
			conn, a := lookup(r.front, id)
			log.printf("%s on a new connection: %v", id, a)
			if conn == nil || !a.signed {
				failed.Add(1)
			} else {
				served.Add(1)
			}
			if conn == nil {
				return
			}
			idle.Store(n, conn)
			if trouble {
				// The client stays idle for longer than it may. The system may close the connection.
				_ = conn.SetDeadline(time.Time{})
				_, _ = conn.Read(make([]byte, 1))
			} else {
				select {
				case <-time.After(idleTimeout * 4 / 5):
				case <-end:
				}
			}
			_ = conn.Close()
			idle.Delete(n)
		}()
		if time.Now().After(nextLine) {
			nextLine = nextLine.Add(10 * time.Second)
			log.printf("%d served, %d failed, the process has %d descriptors, ready: %t", served.Load(), failed.Load(), r.descriptors(), isReady())
		}
	}
	log.printf("%d served, %d failed, the process has %d descriptors; no more clients but %d each second, and idle ones stay", served.Load(), failed.Load(), r.descriptors(), clients)
	var firstTry time.Time
	span, tried, longest := time.Duration(0), 0, time.Duration(0)
	for round := range tries {
		ready := isReady()
		var group sync.WaitGroup
		var taken atomic.Int64
		start := time.Now()
		for i := range clients {
			group.Go(func() {
				id := fmt.Sprintf("late%d-%d", round, i)
				conn, a := lookup(r.front, id)
				if conn != nil {
					taken.Add(1)
					_ = conn.Close()
				}
				log.printf("%s on a new connection: %v; runs: %d", id, a, len(f.runsOf(id)))
			})
		}
		group.Wait()
		log.printf("%s says that it is ready: %t; of %d new connections it has taken %d; %d descriptors", r.name, ready, clients, taken.Load(), r.descriptors())
		if !ready || taken.Load() > 0 {
			firstTry, span, tried = time.Time{}, 0, 0
			continue
		}
		if firstTry.IsZero() {
			firstTry = start
		}
		span, tried = time.Since(firstTry), tried+clients
		longest = max(longest, span)
	}
	close(end)
	log.printf("longest time without a new connection while ready: %.1f s (%v or more breaks the rule)", longest.Seconds(), stable)
	if served.Load() == 0 {
		giveUp("no request was served")
	}
	return longest >= stable && tried >= 7
}

// largeUploads sends large uploads to one process, together or one after the other, while clients with kept
// connections confirm placements. It reports whether more than three of their requests were passed on to an upstream
// and got no answer.
func largeUploads(log *record, root, temp string) bool {
	const (
		uploads  = 5
		bodySize = 62 << 20
		clients  = 16
	)
	s := newStore()
	storeAddress := serve(s)
	f := &fleet{record: log, runs: make(map[string][]*run), work: workTime}
	for i := range 4 {
		f.start(s, fmt.Sprintf("i-registry%d", i), "placement-registry", true)
		f.start(s, fmt.Sprintf("i-intake%d", i), "dossier-intake", false)
	}
	s.put("config", "main", configuration)
	r := startRouter(root, temp, "edge-fukuoka-a-1", storeAddress, "")
	defer r.stop()
	go r.limitMemory(log)
	r.awaitReady()
	time.Sleep(2 * time.Second)
	log.printf("%s is ready, %d MB in use; %d clients begin to confirm placements", r.name, r.memory()>>20, clients)
	end := make(chan struct{})
	var group sync.WaitGroup
	var mu sync.Mutex
	lost, served := 0, 0
	for i := range clients {
		c := &keptClient{front: r.front, name: fmt.Sprintf("confirm%d", i)}
		group.Go(func() {
			for {
				select {
				case <-end:
					return
				case <-r.done:
					return
				default:
				}
				id, a, kept := c.confirm()
				if id == "" {
					time.Sleep(100 * time.Millisecond)
					continue
				}
				runs := f.runsOf(id)
				mu.Lock()
				if a.err == nil && a.signed {
					served++
				}
				if a.err != nil && kept && len(runs) > 0 {
					lost++
					log.printf("%s, on a kept connection, has reached %s and is %v", id, runs[0].server, a)
				} else {
					log.printf("%s, kept: %t, runs: %d: %v", id, kept, len(runs), a)
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(2 * time.Second)
	l := &link{}
	send := func(i int) {
		id := fmt.Sprintf("upload%d", i)
		log.printf("%s of %d bytes begins, the limit is %d", id, bodySize, maxBodyBytes)
		a := upload(l, r.front, id, bodySize, false)
		log.printf("%s: %v; runs: %d", id, a, len(f.runsOf(id)))
	}
	var sending sync.WaitGroup
	for i := range uploads {
		if trouble {
			sending.Go(func() { send(i) })
			continue
		}
		send(i)
	}
	sending.Wait()
	time.Sleep(time.Second)
	close(end)
	group.Wait()
	log.printf("peak memory %d MB, killed by the platform: %t; %d confirmations served, %d passed on and lost (more than 3 break the rule)", r.peak>>20, r.killed, served, lost)
	if served == 0 {
		giveUp("no request was served")
	}
	return lost > 3
}
