// Command standin runs the cases of the third review: it has the stand-ins of store, upstreams and clients, and
// starts the processes of the project.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"time"
)

// world is a small deployment.
type world struct {
	folder       string
	trouble      bool
	record       *record
	store        *store
	storeAddress string
	routers      []*router
	upstreams    []*upstream
}

// newWorld starts the store with a configuration.
func newWorld(configuration map[string]any, trouble bool, recordPath string) (*world, error) {
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	w := &world{folder: folder, trouble: trouble, record: &record{file: f, begin: time.Now()}, store: newStore()}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.storeAddress = l.Addr().String()
	go func() { _ = http.Serve(l, w.store) }()
	w.store.put("config", "main", configuration)
	return w, nil
}

// addRouters adds processes; each is started by its start method.
func (w *world) addRouters(program, memory string, n int) {
	var seeds []string
	for i := range n {
		p := &router{
			name: fmt.Sprintf("edge-a-%d", i+1), zone: "a", client: freeAddress(), ready: freeAddress(), peer: freeAddress(), admin: freeAddress(),
			program: program, memory: memory, folder: w.folder, store: w.storeAddress,
		}
		if len(seeds) < 3 {
			seeds = append(seeds, p.peer)
		}
		w.routers = append(w.routers, p)
	}
	for _, p := range w.routers {
		p.seeds = seeds
	}
}

// addUpstreams starts upstreams of a service.
func (w *world) addUpstreams(n int, model *upstream) error {
	for i := range n {
		u := &upstream{
			id: fmt.Sprintf("i-%s-%d", model.service, i+1), service: model.service, zone: "a", address: "127.0.0.1:0", slots: model.slots,
			store: w.store, record: w.record, sharded: model.sharded, respond: model.respond, stream: model.stream, receiveBuffer: model.receiveBuffer,
		}
		if err := u.start(time.Second); err != nil {
			return err
		}
		w.upstreams = append(w.upstreams, u)
	}
	return nil
}

// close ends all processes and upstreams.
func (w *world) close() {
	for _, p := range w.routers {
		p.kill()
	}
	for _, u := range w.upstreams {
		u.close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	}
}

func main() {
	// The processes end with the thread that has started them.
	runtime.LockOSThread()
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE PROGRAM FOLDER")
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(2)
	}
	broken, err := run(os.Args[2], filepath.Join(os.Args[3], "record.txt"), trouble)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}

// cases are the cases by name.
var cases = map[string]func(program, recordPath string, trouble bool) (bool, error){
	"ahead":       runAhead,
	"slow-upload": runSlowUpload,
	"ahead-stop":  runAheadStop,
	"ahead-heads": runAheadHeads,
}
