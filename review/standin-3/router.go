package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
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

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

func (r *record) write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f ", time.Since(r.begin).Seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}

// freeAddress returns a loopback address with a free port, outside of the range from which Linux takes the ports of
// outgoing connections.
func freeAddress() string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", 20_000+rand.IntN(12_000))
		l, err := net.Listen("tcp", address)
		if err == nil {
			_ = l.Close()
			return address
		}
	}
}

// router is a process of the project, with the settings that its deploy file would give it.
type router struct {
	name, zone                         string
	client, ready, peer, admin, memory string
	program, folder                    string
	seeds                              []string
	store                              string
	command                            *exec.Cmd
	ended                              chan struct{}
}

// start starts the process with the command of the deploy file.
func (p *router) start() error {
	memory, _ := strconv.Atoi(p.memory)
	settings, err := json.MarshalIndent(map[string]any{
		"name": p.name, "centre": p.zone, "client": p.client, "ready": p.ready, "peer": p.peer, "admin": p.admin,
		"store": p.store, "seeds": p.seeds, "stop": "6s",
		"retries": map[string]any{"share": 0.2, "slack": 58, "processes": 16},
		"cores":   map[string]any{"share": 0.32, "speed": 1},
		"memory":  memory, "descriptors": 4100, "logs": map[string]any{"lines": 200, "bytes": 65536},
	}, "", "  ")
	if err != nil {
		return err
	}
	path := filepath.Join(p.folder, p.name+".json")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(p.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.command = exec.Command(p.program, "gateway", "--settings", path)
	p.command.Stdout, p.command.Stderr = out, out
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return err
	}
	p.ended = make(chan struct{})
	go func() {
		_ = p.command.Wait()
		_ = out.Close()
		close(p.ended)
	}()
	return nil
}

// kill ends the process at once.
func (p *router) kill() {
	if p.ended != nil {
		_ = p.command.Process.Kill()
		<-p.ended
	}
}

// awaitReady waits until the process answers the balancer with 200.
func (p *router) awaitReady(limit time.Duration) bool {
	c := http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		r, err := c.Get("http://" + p.ready + "/v1/readyz")
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// memoryMB returns the resident memory of the process, without pages of files.
func (p *router) memoryMB() float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "RssAnon:" {
			kb, _ := strconv.ParseFloat(f[1], 64)
			return kb / 1024
		}
	}
	return 0
}
