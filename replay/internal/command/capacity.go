package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"bramleystand.org/common/configuration"
	"bramleystand.org/replay/internal/caller"
	"bramleystand.org/replay/internal/deployment"
	"bramleystand.org/replay/internal/fleet"
	"bramleystand.org/replay/internal/keyprobe"
	"bramleystand.org/replay/internal/responder"
	"bramleystand.org/replay/internal/usage"
)

const (
	// settleTime is the time after the start in which leases are distributed evenly; one
	// upstream changes its leaseholder every 10 s.
	settleTime = 5 * time.Second
	// loadWorkers is the number of concurrent callers, which call without pause.
	loadWorkers = 16
)

// Capacity measures the CPU, network, memory and platform usage of entry processes.
type Capacity struct {
	Programs  string `default:"bin" help:"Directory of the programs entry, platformd and backendd."`
	Keep      bool   `help:"Keep the settings files and logs of the processes."`
	Seconds   int    `default:"20" help:"Length of each measurement in seconds."`
	Entries   []int  `default:"2,4,8,16" help:"Numbers of entry VMs to measure without requests."`
	Upstreams []int  `default:"30,100,420" help:"Numbers of upstreams to measure without requests."`
	Holders   int    `default:"2" help:"Number of entry VMs in the measurements of idle upstreams."`
	Fenced    bool   `default:"true" negatable:"" help:"Mark the idle upstreams as fenced, so that they check grants."`
	Load      bool   `default:"true" negatable:"" help:"Also measure the CPU time of a request."`
}

// Run prints a table of idle entry VMs and idle upstreams, and one of requests.
func (c *Capacity) Run() error {
	ctx, stop := signalContext()
	defer stop()
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(w, "entry VMs\tidle upstreams\tCPU % of a core, mean\thighest\tread B/s\twritten B/s\tcalls/s\tresident MiB\thighest\tget/s\tlist/s\tput/s\tvms/s\twatch/s\tserver requests/s\t\n")
	for _, n := range c.Entries {
		if err := c.measureIdle(ctx, w, n, 0); err != nil {
			return err
		}
	}
	for _, n := range c.Upstreams {
		if err := c.measureIdle(ctx, w, c.Holders, n); err != nil {
			return err
		}
	}
	if err := w.Flush(); err != nil || !c.Load {
		return err
	}
	return c.measureLoad(ctx)
}

// startFleet starts a fleet with one data centre and one backend server. The returned
// function removes its files unless they are to be kept.
func (c *Capacity) startFleet(ctx context.Context, entries int) (*fleet.Fleet, deployment.Service, func(failed bool), error) {
	d, err := deployment.Parse("kerala")
	if err != nil {
		return nil, deployment.Service{}, nil, err
	}
	d.Services[0].Slots, d.Services[0].Connections = serverSlots, 2*serverSlots
	setup := Setup{Programs: c.Programs, Keep: c.Keep, Centres: 1, Entries: entries, Servers: 1}
	options, cleanUp, err := setup.options(d)
	if err != nil {
		return nil, deployment.Service{}, nil, err
	}
	options.BackendArgs = zeroCostArgs
	f, err := fleet.Start(ctx, options)
	if err != nil {
		cleanUp(true)
		return nil, deployment.Service{}, nil, err
	}
	if err := f.Ready(ctx); err != nil {
		f.Kill()
		cleanUp(true)
		return nil, deployment.Service{}, nil, err
	}
	return f, d.Services[0], cleanUp, nil
}

// measureIdle measures entry VMs without requests and prints a row of the table.
func (c *Capacity) measureIdle(ctx context.Context, w *tabwriter.Writer, entries, upstreams int) (err error) {
	f, _, cleanUp, err := c.startFleet(ctx, entries)
	if err != nil {
		return err
	}
	defer func() { cleanUp(err != nil) }()
	defer f.Kill()
	servers, err := responder.Start(upstreams)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, servers.Close()) }()
	if upstreams > 0 {
		if err := c.addUpstreams(ctx, f, servers.Addresses()); err != nil {
			return err
		}
	}
	if err := pause(ctx, settleTime); err != nil {
		return err
	}
	before, calls, requests, err := c.readUsage(ctx, f, servers)
	if err != nil {
		return err
	}
	if err := pause(ctx, time.Duration(c.Seconds)*time.Second); err != nil {
		return err
	}
	after, callsAfter, requestsAfter, err := c.readUsage(ctx, f, servers)
	if err != nil {
		return err
	}
	var sum, highest usage.Usage
	for i := range after {
		u := after[i].Since(before[i])
		sum.CPU, sum.Read, sum.Written, sum.IOCalls, sum.Resident = sum.CPU+u.CPU, sum.Read+u.Read, sum.Written+u.Written, sum.IOCalls+u.IOCalls, sum.Resident+u.Resident
		highest.CPU, highest.Resident = max(highest.CPU, u.CPU), max(highest.Resident, u.Resident)
	}
	seconds := after[0].At.Sub(before[0].At).Seconds()
	perEntry := func(n int64) float64 { return float64(n) / seconds / float64(entries) }
	perSecond := func(name string) float64 { return float64(callsAfter[name]-calls[name]) / seconds }
	fmt.Fprintf(w, "%d\t%d\t%.2f\t%.2f\t%.0f\t%.0f\t%.0f\t%.1f\t%.1f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.0f\t\n",
		entries, upstreams, perEntry(int64(sum.CPU))/1e7, float64(highest.CPU)/seconds/1e7, perEntry(sum.Read), perEntry(sum.Written),
		perEntry(sum.IOCalls), float64(sum.Resident)/float64(entries)/(1<<20), float64(highest.Resident)/(1<<20),
		perSecond("get"), perSecond("list"), perSecond("put"), perSecond("vms"), perSecond("watch"), float64(requestsAfter-requests)/seconds)
	return f.Stop(ctx)
}

// addUpstreams stores a service with idle upstreams. It has at least the default number of
// shards for every 30 upstreams.
func (c *Capacity) addUpstreams(ctx context.Context, f *fleet.Fleet, addresses []netip.AddrPort) error {
	s := configuration.Service{Name: "idle", Shards: fleet.Shards}
	for i, a := range addresses {
		s.Upstreams = append(s.Upstreams, configuration.Upstream{
			Name: fmt.Sprintf("idle-%04d", i), DataCentre: f.Entries[0].DataCentre, Address: a, Slots: 4, Connections: 110, Fenced: c.Fenced,
		})
	}
	for int(s.Shards) < len(addresses)*fleet.Shards/30 {
		s.Shards *= 2
	}
	s.Homes = configuration.DefaultHomes(s.Shards, s.Upstreams)
	content, err := configuration.EncodeService(s)
	if err != nil {
		return fmt.Errorf("capacity: encode service: %w", err)
	}
	return f.Put(ctx, configuration.ServiceObject(s.Name), content)
}

// readUsage returns the usage of each entry process, the platform's call counters by method,
// and the number of requests that the idle upstreams have received.
func (c *Capacity) readUsage(ctx context.Context, f *fleet.Fleet, servers *responder.Responder) ([]usage.Usage, map[string]int64, int64, error) {
	list := make([]usage.Usage, len(f.Entries))
	for i, e := range f.Entries {
		u, err := usage.Read(e.Process.PID())
		if err != nil {
			return nil, nil, 0, err
		}
		list[i] = u
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.Address.String()+"/calls", http.NoBody)
	if err != nil {
		return nil, nil, 0, fmt.Errorf("capacity: get call counters: %w", err)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, nil, 0, fmt.Errorf("capacity: get call counters: %w", err)
	}
	defer response.Body.Close()
	calls := map[string]int64{}
	if err := json.NewDecoder(response.Body).Decode(&calls); err != nil {
		return nil, nil, 0, fmt.Errorf("capacity: decode call counters: %w", err)
	}
	return list, calls, servers.Requests(), nil
}

// measureLoad measures lookups that arrive at the leaseholder and lookups that arrive at the
// other entry VM, which forwards them.
func (c *Capacity) measureLoad(ctx context.Context) (err error) {
	f, s, cleanUp, err := c.startFleet(ctx, 2)
	if err != nil {
		return err
	}
	defer func() { cleanUp(err != nil) }()
	defer f.Kill()
	client := caller.NewClient()
	defer client.CloseIdleConnections()
	if err := pause(ctx, settleTime); err != nil {
		return err
	}
	leaseholderIndex, err := findLeaseholder(ctx, f, s)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(w, "arrive at\trequests/s\tCPU µs per request, leaseholder\tother\trequests/s per core, both\tresident MiB, leaseholder\tother\t\n")
	for _, arrivesAt := range []string{"leaseholder", "other"} {
		entry := leaseholderIndex
		if arrivesAt == "other" {
			entry = 1 - leaseholderIndex
		}
		n, usages, seconds, err := c.measureThroughput(ctx, f, client, s, entry)
		if err != nil {
			return err
		}
		cpuMicros := func(i int) float64 { return usages[i].CPU.Seconds() * 1e6 / float64(n) }
		fmt.Fprintf(w, "%s\t%.0f\t%.1f\t%.1f\t%.0f\t%.1f\t%.1f\t\n", arrivesAt, float64(n)/seconds, cpuMicros(leaseholderIndex), cpuMicros(1-leaseholderIndex),
			1e6/(cpuMicros(leaseholderIndex)+cpuMicros(1-leaseholderIndex)), float64(usages[leaseholderIndex].Resident)/(1<<20), float64(usages[1-leaseholderIndex].Resident)/(1<<20))
	}
	return errors.Join(w.Flush(), f.Stop(ctx))
}

// assignmentJSON is the part of a routing table that names the leaseholder of each upstream.
type assignmentJSON struct {
	Placements []struct {
		Leaseholder struct {
			Name string `json:"name"`
		} `json:"leaseholder"`
	} `json:"placements"`
}

// findLeaseholder returns the index of the entry VM that holds the lease of the service's
// only upstream.
func findLeaseholder(ctx context.Context, f *fleet.Fleet, s deployment.Service) (int, error) {
	content, _, err := f.Get(ctx, "assignments/"+s.Name+"@"+f.Entries[0].DataCentre)
	if err != nil {
		return 0, err
	}
	var a assignmentJSON
	if err := json.Unmarshal(content, &a); err != nil {
		return 0, fmt.Errorf("capacity: decode routing table: %w", err)
	}
	for i, e := range f.Entries {
		if len(a.Placements) == 1 && a.Placements[0].Leaseholder.Name == e.Name {
			return i, nil
		}
	}
	return 0, eris.Errorf("capacity: routing table %s does not have exactly one upstream with a leaseholder of the fleet", content)
}

// measureThroughput sends lookups from loadWorkers callers to one entry VM without pause. It
// returns the number of responses, the usage of each entry VM and the duration in seconds.
func (c *Capacity) measureThroughput(ctx context.Context, f *fleet.Fleet, client *http.Client, s deployment.Service, entry int) (int64, []usage.Usage, float64, error) {
	keys := keyprobe.Keys(s.Prefix, fleet.Shards)
	base := "http://" + f.Entries[entry].CallerAddress.String() + "/v1/keys/" + s.Name + "/"
	var count atomic.Int64
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var group sync.WaitGroup
	defer group.Wait()
	for i := range loadWorkers {
		group.Go(func() {
			for k := i; ctx.Err() == nil; k++ {
				if err := lookup(ctx, client, base+url.PathEscape(keys[k%len(keys)])); err != nil {
					cancel(err)
					return
				}
				count.Add(1)
			}
		})
	}
	// Exclude the first second, in which connections are opened.
	if err := pause(ctx, time.Second); err != nil {
		return 0, nil, 0, err
	}
	var before, after []usage.Usage
	countAtStart := count.Load()
	for _, list := range []*[]usage.Usage{&before, &after} {
		for _, e := range f.Entries {
			u, err := usage.Read(e.Process.PID())
			if err != nil {
				return 0, nil, 0, err
			}
			*list = append(*list, u)
		}
		if list == &after {
			break
		}
		if err := pause(ctx, time.Duration(c.Seconds)*time.Second); err != nil {
			return 0, nil, 0, err
		}
	}
	n := count.Load() - countAtStart
	cancel(nil)
	for i := range after {
		after[i] = after[i].Since(before[i])
	}
	return n, after, after[0].At.Sub(before[0].At).Seconds(), nil
}

// pause waits for the given time and returns the cause if the context ends first.
func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
