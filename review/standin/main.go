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
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
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
	server     string
	begin, end time.Time
	cut        bool
}

// fleet is all upstreams, with what they ran.
type fleet struct {
	record *record
	work   func(*http.Request) time.Duration

	mu   sync.Mutex
	runs map[string][]*run
}

func (f *fleet) runsOf(id string) []*run {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[id]
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
	mu                sync.Mutex
	fences            [1 << 16]uint64
	expiries          [1 << 16]time.Time
	working           [1 << 16]int
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
	u.addr = serve(u)
	u.register(s)
	go func() {
		for range time.Tick(heartbeat) {
			u.register(s)
		}
	}()
	return u
}

func (u *upstream) register(s *store) {
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
	this := &run{server: u.id, begin: time.Now()}
	u.fleet.mu.Lock()
	u.fleet.runs[id] = append(u.fleet.runs[id], this)
	u.fleet.mu.Unlock()
	select {
	case <-time.After(u.fleet.work(r)):
	case <-r.Context().Done():
		this.cut = true
	}
	this.end = time.Now()
	if this.cut {
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
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	for k := in.From; k <= in.Target; k++ {
		if r.URL.Path == "/v1/release" {
			u.expiries[k] = time.Time{}
			continue
		}
		u.fences[k], u.expiries[k] = in.Fence, arrived.Add(time.Duration(in.HoldMs)*time.Millisecond)
	}
	u.mu.Unlock()
	if r.URL.Path == "/v1/grant" {
		return
	}
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
}

// workTime returns how long an upstream works on a request: 200 to 600 ms, drawn from the request's identifier.
func workTime(r *http.Request) time.Duration {
	h := fnv.New32a()
	_, _ = io.WriteString(h, r.Header.Get("Bramleystand-Attempt-Id"))
	return time.Duration(200+h.Sum32()%400) * time.Millisecond
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
				} else if a.err != nil || !a.signed {
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
