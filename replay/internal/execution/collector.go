package execution

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// serverLog is the progress of reading the log of the server at one address.
type serverLog struct {
	name         string
	incarnation  int64
	lastSequence uint64
	// incomplete is true once executions are missing or may be missing.
	incomplete bool
}

// Collector reads the logs of servers. Each Collect reads what was added since the
// one before, so that frequent calls lose little when a server is killed.
type Collector struct {
	client    *http.Client
	addresses []netip.AddrPort

	mu         sync.Mutex
	servers    map[netip.AddrPort]*serverLog
	executions []Execution
}

// NewCollector returns a collector that has read nothing.
func NewCollector(client *http.Client, addresses []netip.AddrPort) *Collector {
	return &Collector{client: client, addresses: addresses, servers: map[netip.AddrPort]*serverLog{}}
}

// recordJSON is one record of a server's log.
type recordJSON struct {
	Sequence  uint64 `json:"sequence"`
	Key       string `json:"key"`
	Shard     uint32 `json:"shard"`
	Rank      string `json:"rank"`
	Operation string `json:"operation"`
	Fence     uint64 `json:"fence"`
	Started   int64  `json:"started"`
	Ended     int64  `json:"ended"`
	Result    string `json:"result"`
}

// pageJSON is one page of a server's log.
type pageJSON struct {
	Server      string       `json:"server"`
	Incarnation int64        `json:"incarnation"`
	Dropped     uint64       `json:"dropped"`
	Executions  []recordJSON `json:"executions"`
}

// Collect reads the new executions of all servers. If servers don't answer, it reads
// the others and returns the errors.
func (c *Collector) Collect(ctx context.Context) error {
	failures := make([]error, len(c.addresses))
	var group sync.WaitGroup
	for i, a := range c.addresses {
		group.Go(func() { failures[i] = c.collectServer(ctx, a) })
	}
	group.Wait()
	return errors.Join(failures...)
}

// Executions returns all executions read so far.
func (c *Collector) Executions() []Execution {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Execution(nil), c.executions...)
}

// Incomplete returns the names of the servers that may have run more than was read.
func (c *Collector) Incomplete() map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	names := map[string]bool{}
	for _, s := range c.servers {
		if s.incomplete {
			names[s.name] = true
		}
	}
	return names
}

// MarkIncomplete marks the log of the server at an address as incomplete, because executions
// that were not read yet are gone.
func (c *Collector) MarkIncomplete(address netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.servers[address]; s != nil {
		s.incomplete = true
	}
}

func (c *Collector) collectServer(ctx context.Context, address netip.AddrPort) error {
	for {
		c.mu.Lock()
		after := uint64(0)
		if s := c.servers[address]; s != nil {
			after = s.lastSequence
		}
		c.mu.Unlock()
		page, err := c.nextPage(ctx, address, after)
		if err != nil {
			return fmt.Errorf("execution: read log of %s: %w", address, err)
		}
		if !c.addPage(address, after, page) {
			return nil
		}
	}
}

func (c *Collector) nextPage(ctx context.Context, address netip.AddrPort, after uint64) (*pageJSON, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/executions?after=%d", address, after), http.NoBody)
	if err != nil {
		return nil, err
	}
	response, err := c.client.Do(r)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, eris.Errorf("status %d", response.StatusCode)
	}
	var nextPage pageJSON
	if err := json.NewDecoder(response.Body).Decode(&nextPage); err != nil {
		return nil, err
	}
	return &nextPage, nil
}

// addPage stores the executions of a page and reports whether there may be more pages.
func (c *Collector) addPage(address netip.AddrPort, after uint64, page *pageJSON) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.servers[address]
	if s == nil {
		s = &serverLog{name: page.Server, incarnation: page.Incarnation}
		c.servers[address] = s
	}
	if s.incarnation != page.Incarnation {
		// The log of the previous process is gone. Read that of the new one from its start.
		s.incarnation, s.lastSequence, s.incomplete = page.Incarnation, 0, true
		return true
	}
	if page.Dropped > after {
		s.incomplete = true
	}
	for _, r := range page.Executions {
		if r.Sequence <= s.lastSequence {
			continue
		}
		s.lastSequence = r.Sequence
		if r.Started == 0 {
			continue
		}
		name, attempt := ParseLabel(r.Operation)
		c.executions = append(c.executions, Execution{
			Server: page.Server, Incarnation: page.Incarnation, SequenceNumber: r.Sequence, Key: r.Key, Shard: r.Shard, Rank: r.Rank,
			Operation: name, Attempt: attempt, Fence: r.Fence,
			Started: time.Duration(r.Started), Ended: time.Duration(r.Ended), Ran: r.Result == "ran",
		})
	}
	return len(page.Executions) > 0
}
