package gatewayprocess_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// The crowd and the bounds of the tests with clients that are not under control. The memory is the limit in the
// settings of the process, and the descriptors are those that the operating system allows it.
const (
	crowdMemoryMB      = 64
	crowdDescriptors   = 320
	maxOpenDescriptors = 300
	crowdSize          = 40
	crowdIdle          = 400
	crowdBodyBytes     = 4 << 20
	crowdHeadBytes     = 48 << 10
	// crowdPatience is how long a client of a crowd tries to send before it only stays open.
	crowdPatience = 2 * time.Second
)

const crowdConfiguration = `{"version":1,"routes":{"get":{"host":"h.example","pathPrefix":"/get/","routeType":"idempotent","timeoutMs":20000,"sloMs":500,"priority":0,"service":"keyed","attempts":2},
"final":{"host":"h.example","pathPrefix":"/final/","routeType":"non_idempotent","timeoutMs":20000,"sloMs":500,"priority":1,"service":"keyed","attempts":2},
"upload":{"host":"h.example","pathPrefix":"/upload/","routeType":"upload","timeoutMs":20000,"sloMs":500,"priority":2,"service":"keyed","attempts":2}},
"services":{"keyed":{"healthPath":"/h","maxConns":100}},"limits":{"maxHeaderBytes":65536,"maxBodyBytes":4194304,"headerTimeoutMs":10000,"idleTimeoutMs":15000}}`

// entryProgram builds the program of the entry process without the race detector, which multiplies the memory.
var entryProgram = sync.OnceValues(func() (string, error) {
	directory, err := os.MkdirTemp("", "entry")
	if err != nil {
		return "", err
	}
	program := filepath.Join(directory, "entry")
	output, err := exec.Command("go", "build", "-o", program, "bramleystand.org/entry").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build entry: %w: %s", err, output)
	}
	return program, nil
})

// childProcess is an entry process of its own, whose memory and descriptors can be measured.
type childProcess struct {
	clients, ready, peer, admin netip.AddrPort
	command                     *exec.Cmd
	output                      *bytes.Buffer
	ended                       chan error
}

// startChild starts an entry process and waits until it serves requests.
func startChild(t *testing.T, store netip.AddrPort) *childProcess {
	program, err := entryProgram()
	must.NoError(t, err)
	c := &childProcess{clients: unusedAddress(t), ready: unusedAddress(t), peer: unusedAddress(t), admin: unusedAddress(t), output: new(bytes.Buffer), ended: make(chan error, 1)}
	settings := fmt.Sprintf(`{"name":"child","centre":"x","client":%q,"ready":%q,"peer":%q,"admin":%q,"store":%q,"seeds":[],"stop":"2s",
"retries":{"share":0.2,"slack":50,"processes":4},"cores":{"share":1,"speed":1},"memory":%d,"logs":{"lines":200,"bytes":65536}}`,
		c.clients, c.ready, c.peer, c.admin, store, crowdMemoryMB)
	file := filepath.Join(t.TempDir(), "settings.json")
	must.NoError(t, os.WriteFile(file, []byte(settings), 0o600))
	c.command = exec.Command("/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" gateway --settings "$1"`, crowdDescriptors), program, file)
	c.command.Stdout, c.command.Stderr = c.output, c.output
	must.NoError(t, c.command.Start())
	go func() { c.ended <- c.command.Wait() }()
	t.Cleanup(c.kill)
	eventually(t, 20*time.Second, "the process serves requests", func() bool { return c.request() == http.StatusOK })
	return c
}

func (c *childProcess) kill() {
	_ = c.command.Process.Signal(syscall.SIGKILL)
	select {
	case err := <-c.ended:
		c.ended <- err
	case <-time.After(5 * time.Second):
	}
}

// alive reports whether the process still runs.
func (c *childProcess) alive() bool {
	select {
	case err := <-c.ended:
		c.ended <- err
		return false
	default:
		return true
	}
}

// request sends an ordinary request and returns the status of its response, or zero.
func (c *childProcess) request() int {
	r, err := http.NewRequest(http.MethodPost, "http://"+c.clients.String()+"/get/x", strings.NewReader("ordinary"))
	if err != nil {
		return 0
	}
	r.Host = "h.example"
	r.Header.Set("Bramleystand-Attempt-Id", fmt.Sprint("ordinary-", time.Now().UnixNano()))
	r.Header.Set("Bramleystand-Deadline-Ms", "3000")
	r.Close = true
	client := http.Client{Timeout: 3 * time.Second}
	response, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if body, err := io.ReadAll(response.Body); err != nil || response.StatusCode == http.StatusOK && string(body) != "ordinary" {
		return 0
	}
	return response.StatusCode
}

var peakMemory = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

// peakMemoryMB returns the largest resident memory since the last call, in MB.
func (c *childProcess) peakMemoryMB(t *testing.T) int {
	directory := fmt.Sprintf("/proc/%d/", c.command.Process.Pid)
	status, err := os.ReadFile(directory + "status")
	must.NoError(t, err)
	match := peakMemory.FindSubmatch(status)
	must.Len(t, 2, match)
	kilobytes, err := strconv.Atoi(string(match[1]))
	must.NoError(t, err)
	// The value 5 resets the peak; see proc(5).
	must.NoError(t, os.WriteFile(directory+"clear_refs", []byte("5"), 0))
	return kilobytes / 1024
}

func (c *childProcess) openDescriptors(t *testing.T) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", c.command.Process.Pid))
	must.NoError(t, err)
	return len(entries)
}

// door is a place at which a client can send something to a process.
type door struct {
	name    string
	address func(c *childProcess) netip.AddrPort
	method  string
	path    string
}

func clientsOf(c *childProcess) netip.AddrPort { return c.clients }

var doors = []door{
	{"idempotent route", clientsOf, "POST", "/get/x"},
	{"non-idempotent route", clientsOf, "POST", "/final/x"},
	{"upload route", clientsOf, "POST", "/upload/x"},
	{"no route", clientsOf, "POST", "/none/x"},
	{"readiness path at the port for clients", clientsOf, "POST", "/v1/readyz"},
	{"readiness", func(c *childProcess) netip.AddrPort { return c.ready }, "POST", "/v1/readyz"},
	{"operators", func(c *childProcess) netip.AddrPort { return c.admin }, "POST", "/dump"},
	{"peers", func(c *childProcess) netip.AddrPort { return c.peer }, "POST", "/"},
}

// head returns the head of a request of the n-th client without the empty line at its end.
func (d door) head(n int, fields string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\nBramleystand-Attempt-Id: crowd-%d-%d\r\nBramleystand-Deadline-Ms: 20000\r\n%s", d.method, d.path, n, time.Now().UnixNano(), fields)
}

// misuse is a way to misuse a process.
type misuse struct {
	name    string
	clients int
	// send writes what the n-th client sends. Errors end the client, because a process may refuse it.
	send func(w io.Writer, d door, n int) error
	// silent clients read nothing; the others read and drop what they get.
	silent bool
}

// inPieces writes text in pieces of the given size.
func inPieces(w io.Writer, text []byte, size int) error {
	for len(text) > 0 {
		n := min(size, len(text))
		if _, err := w.Write(text[:n]); err != nil {
			return err
		}
		text = text[n:]
	}
	return nil
}

// sendBody sends a head with a length and a body that lacks its last byte.
func sendBody(pieces int) func(io.Writer, door, int) error {
	return func(w io.Writer, d door, n int) error {
		if _, err := io.WriteString(w, d.head(n, fmt.Sprintf("Content-Length: %d\r\n\r\n", crowdBodyBytes))); err != nil {
			return err
		}
		return inPieces(w, make([]byte, crowdBodyBytes-1), pieces)
	}
}

// sendChunks sends a chunked body without its end.
func sendChunks(total int) func(io.Writer, door, int) error {
	return func(w io.Writer, d door, n int) error {
		if _, err := io.WriteString(w, d.head(n, "Transfer-Encoding: chunked\r\n\r\n")); err != nil {
			return err
		}
		chunk := []byte("400\r\n" + strings.Repeat("x", 1024) + "\r\n")
		for sent := 0; sent+1024 <= total; sent += 1024 {
			if _, err := w.Write(chunk); err != nil {
				return err
			}
		}
		return nil
	}
}

// sendFields sends a head of short fields and what follows it.
func sendFields(after string) func(io.Writer, door, int) error {
	var fields strings.Builder
	for i := 0; fields.Len() < crowdHeadBytes; i++ {
		fmt.Fprintf(&fields, "%s:\r\n", strconv.FormatInt(int64(i), 36))
	}
	return func(w io.Writer, d door, n int) error {
		_, err := io.WriteString(w, d.head(n, fields.String()+after))
		return err
	}
}

var misuses = []misuse{
	{name: "bodies in one piece without the last byte", clients: crowdSize, send: sendBody(crowdBodyBytes)},
	{name: "bodies in small pieces without the last byte", clients: crowdSize, send: sendBody(1400)},
	{name: "bodies in chunks without the last one", clients: crowdSize, send: sendChunks(crowdBodyBytes - 1024)},
	{name: "bodies far over the limit", clients: crowdSize, send: sendChunks(16 * crowdBodyBytes)},
	{name: "a length far over the limit", clients: crowdSize, send: func(w io.Writer, d door, n int) error {
		if _, err := io.WriteString(w, d.head(n, "Content-Length: 1073741824\r\n\r\n")); err != nil {
			return err
		}
		return inPieces(w, make([]byte, 2*crowdBodyBytes), 64<<10)
	}},
	{name: "heads of short fields without their end", clients: 3 * crowdSize, send: sendFields("")},
	{name: "heads of short fields", clients: 3 * crowdSize, send: sendFields("Content-Length: 1\r\n\r\n")},
	{name: "requests sent ahead without reading", clients: crowdSize, silent: true, send: func(w io.Writer, d door, n int) error {
		text := strings.Repeat("x", 16<<10)
		for i := range 500 {
			if _, err := io.WriteString(w, d.head(n*1000+i, fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(text), text))); err != nil {
				return err
			}
		}
		return nil
	}},
	{name: "large responses that nobody reads", clients: crowdSize, silent: true, send: func(w io.Writer, d door, n int) error {
		if _, err := io.WriteString(w, d.head(n, fmt.Sprintf("Content-Length: %d\r\n\r\n", crowdBodyBytes/2))); err != nil {
			return err
		}
		return inPieces(w, make([]byte, crowdBodyBytes/2), 64<<10)
	}},
	{name: "clients that stop in the request line", clients: crowdIdle, send: func(w io.Writer, d door, _ int) error {
		_, err := io.WriteString(w, d.method+" "+d.path)
		return err
	}},
	{name: "clients that send nothing", clients: crowdIdle, send: func(io.Writer, door, int) error { return nil }},
}

// crowd opens the connections of a misuse and returns when all clients have sent what they can. The returned
// function closes the connections.
func crowd(c *childProcess, d door, m misuse) (leave func()) {
	var open sync.Map
	var group sync.WaitGroup
	for n := range m.clients {
		group.Go(func() {
			connection, err := net.DialTimeout("tcp", d.address(c).String(), crowdPatience)
			if err != nil {
				return
			}
			open.Store(connection, true)
			if !m.silent {
				go func() { _, _ = io.Copy(io.Discard, connection) }()
			}
			_ = connection.SetWriteDeadline(time.Now().Add(crowdPatience))
			_ = m.send(connection, d, n)
		})
	}
	group.Wait()
	return func() {
		open.Range(func(connection, _ any) bool {
			_ = connection.(net.Conn).Close()
			return true
		})
	}
}

// Guards against clients that end an entry process by its memory or descriptors, or keep it from serving others.
func TestUncontrolledClients(t *testing.T) {
	s := newFakeStore(t)
	s.put("config", "main", crowdConfiguration)
	b := newFakeBackend(t, "a")
	b.plain = true
	s.put("servers", "a", b.registryEntry("ready"))
	for _, m := range misuses {
		t.Run(m.name, func(t *testing.T) {
			c := startChild(t, s.address)
			for _, d := range doors {
				if !c.alive() {
					c = startChild(t, s.address)
				}
				c.peakMemoryMB(t)
				leave := crowd(c, d, m)
				if !c.alive() {
					leave()
					t.Errorf("%s: the process has ended: %s", d.name, lastLines(c.output.String()))
					continue
				}
				memory, descriptors := c.peakMemoryMB(t), c.openDescriptors(t)
				leave()
				t.Logf("%s: %d MB, %d descriptors", d.name, memory, descriptors)
				if memory > crowdMemoryMB {
					t.Errorf("%s: %d MB resident, %d allowed", d.name, memory, crowdMemoryMB)
				}
				if descriptors > maxOpenDescriptors {
					t.Errorf("%s: %d descriptors open, %d allowed", d.name, descriptors, maxOpenDescriptors)
				}
				eventually(t, 15*time.Second, d.name+": an ordinary request is answered", func() bool { return c.request() == http.StatusOK })
			}
		})
	}
}

// lastLines returns the end of a process's output.
func lastLines(text string) string { return text[max(0, len(text)-600):] }
