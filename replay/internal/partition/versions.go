package partition

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"bramleystand.org/common/configuration"
	"bramleystand.org/replay/internal/fleet"
)

const (
	versionsInterval = 200 * time.Millisecond
	versionsTimeout  = time.Second
)

// versions samples the versions of the objects at each entry process.
type versions struct {
	client  *http.Client
	entries []*fleet.Entry
	mu      sync.Mutex
	samples map[string][]sample
}

// sample is what a process had at one time.
type sample struct {
	taken    time.Time
	preset   string
	versions map[string]int64
}

// dumpJSON is the part of an entry process's state dump that names versions.
type dumpJSON struct {
	Preset   string           `json:"preset"`
	Versions map[string]int64 `json:"versions"`
}

func newVersions(entries []*fleet.Entry) *versions {
	return &versions{client: &http.Client{Timeout: versionsTimeout}, entries: entries, samples: make(map[string][]sample)}
}

// run takes samples until ctx ends.
func (v *versions) run(ctx context.Context) {
	ticker := time.NewTicker(versionsInterval)
	defer ticker.Stop()
	for {
		var group sync.WaitGroup
		for _, e := range v.entries {
			group.Go(func() { v.take(ctx, e) })
		}
		group.Wait()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// take adds a sample; a process that doesn't answer has none.
func (v *versions) take(ctx context.Context, e *fleet.Entry) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Admin.String()+"/dump", http.NoBody)
	if err != nil {
		return
	}
	response, err := v.client.Do(r)
	if err != nil {
		return
	}
	defer response.Body.Close()
	var d dumpJSON
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&d) != nil {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.samples[e.Name] = append(v.samples[e.Name], sample{time.Now(), d.Preset, d.Versions})
}

// processes evaluates the samples.
func (v *versions) processes(switchAt, cutAt, healAt time.Time) []Process {
	var list []Process
	for _, e := range v.entries {
		p := Process{Name: e.Name, Followed: -1}
		highest := make(map[string]int64)
		for _, s := range v.samples[e.Name] {
			p.observe(s, highest)
			version := s.versions[configuration.PresetObject]
			if s.taken.Before(cutAt) {
				p.Before = version
			}
			if s.taken.Before(healAt) {
				p.During = version
			}
			p.After = version
			if s.preset == switched && p.Followed < 0 {
				p.Followed = followed(s.taken, switchAt, healAt)
			}
		}
		list = append(list, p)
	}
	return list
}

func followed(at, switchAt, healAt time.Time) time.Duration {
	if at.Before(healAt) {
		return at.Sub(switchAt)
	}
	return at.Sub(healAt)
}

// observe counts the objects of a sample whose version is lower than one seen before.
func (p *Process) observe(s sample, highest map[string]int64) {
	for name, version := range s.versions {
		if version < highest[name] {
			p.Reverted++
		}
		highest[name] = max(highest[name], version)
	}
}
