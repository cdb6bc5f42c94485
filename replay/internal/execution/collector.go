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

// server is what has been read from the server process at one address.
type server struct {
	name        string
	incarnation int64
	read        uint64
	// lost is true once executions are known or presumed missing.
	lost bool
}

// Collector reads the logs of servers again and again, so that little is missing
// when a server is killed.
type Collector struct {
	client    *http.Client
	addresses []netip.AddrPort

	mu         sync.Mutex
	servers    map[netip.AddrPort]*server
	executions []Execution
}

// NewCollector returns a collector that has read nothing.
func NewCollector(client *http.Client, addresses []netip.AddrPort) *Collector {
	return &Collector{client: client, addresses: addresses, servers: map[netip.AddrPort]*server{}}
}

// recordJSON is an entry of a server's log.
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

// pageJSON is a part of a server's log.
type pageJSON struct {
	Server      string       `json:"server"`
	Incarnation int64        `json:"incarnation"`
	Dropped     uint64       `json:"dropped"`
	Executions  []recordJSON `json:"executions"`
}

// Collect reads what is new on all servers; it goes on after a server that doesn't answer.
func (c *Collector) Collect(ctx context.Context) error {
	failures := make([]error, len(c.addresses))
	var group sync.WaitGroup
	for i, a := range c.addresses {
		group.Go(func() { failures[i] = c.collect(ctx, a) })
	}
	group.Wait()
	return errors.Join(failures...)
}

// Executions returns everything that has been read.
func (c *Collector) Executions() []Execution {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Execution(nil), c.executions...)
}

// Incomplete returns the servers that may have run more than was read.
func (c *Collector) Incomplete() map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	names := map[string]bool{}
	for _, s := range c.servers {
		if s.lost {
			names[s.name] = true
		}
	}
	return names
}

// Lose marks the server at an address as one whose unread executions are gone.
func (c *Collector) Lose(address netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.servers[address]; s != nil {
		s.lost = true
	}
}

func (c *Collector) collect(ctx context.Context, address netip.AddrPort) error {
	for {
		c.mu.Lock()
		after := uint64(0)
		if s := c.servers[address]; s != nil {
			after = s.read
		}
		c.mu.Unlock()
		page, err := c.page(ctx, address, after)
		if err != nil {
			return fmt.Errorf("execution: read log of %s: %w", address, err)
		}
		if !c.add(address, after, page) {
			return nil
		}
	}
}

func (c *Collector) page(ctx context.Context, address netip.AddrPort, after uint64) (*pageJSON, error) {
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
	var page pageJSON
	if err := json.NewDecoder(response.Body).Decode(&page); err != nil {
		return nil, err
	}
	return &page, nil
}

// add stores a page and reports whether there may be more.
func (c *Collector) add(address netip.AddrPort, after uint64, page *pageJSON) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.servers[address]
	if s == nil {
		s = &server{name: page.Server, incarnation: page.Incarnation}
		c.servers[address] = s
	}
	if s.incarnation != page.Incarnation {
		// The log of the earlier process is gone; read the new one from its start.
		s.incarnation, s.read, s.lost = page.Incarnation, 0, true
		return true
	}
	if page.Dropped > after {
		s.lost = true
	}
	for _, r := range page.Executions {
		if r.Sequence <= s.read {
			continue
		}
		s.read = r.Sequence
		if r.Started == 0 {
			continue
		}
		name, attempt := ParseLabel(r.Operation)
		c.executions = append(c.executions, Execution{
			Server: page.Server, Incarnation: page.Incarnation, Number: r.Sequence, Key: r.Key, Shard: r.Shard, Rank: r.Rank,
			Operation: name, Attempt: attempt, Fence: r.Fence,
			Started: time.Duration(r.Started), Ended: time.Duration(r.Ended), Ran: r.Result == "ran",
		})
	}
	return len(page.Executions) > 0
}
