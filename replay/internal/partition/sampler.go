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
	// sampleInterval is the time between two samples of a process.
	sampleInterval = 200 * time.Millisecond
	// sampleTimeout bounds the request for one sample.
	sampleTimeout = time.Second
)

// versionSampler periodically records the versions of the objects at each entry process.
type versionSampler struct {
	client  *http.Client
	entries []*fleet.Entry
	mu      sync.Mutex
	samples map[string][]sample
}

// sample holds the active preset and the object versions of a process at one time.
type sample struct {
	taken    time.Time
	preset   string
	versions map[string]int64
}

// dumpJSON is the part of an entry process's state dump that contains versions.
type dumpJSON struct {
	Preset   string           `json:"preset"`
	Versions map[string]int64 `json:"versions"`
}

func newVersionSampler(entries []*fleet.Entry) *versionSampler {
	return &versionSampler{client: &http.Client{Timeout: sampleTimeout}, entries: entries, samples: make(map[string][]sample)}
}

// run takes a sample of every process at each interval until ctx ends.
func (v *versionSampler) run(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		var group sync.WaitGroup
		for _, e := range v.entries {
			group.Go(func() { v.takeSample(ctx, e) })
		}
		group.Wait()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// takeSample adds a sample of a process, or none if the process doesn't answer.
func (v *versionSampler) takeSample(ctx context.Context, e *fleet.Entry) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.AdminAddress.String()+"/dump", http.NoBody)
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

// processResults evaluates the samples of each process.
func (v *versionSampler) processResults(switchAt, cutAt, healAt time.Time) []ProcessResult {
	var results []ProcessResult
	for _, e := range v.entries {
		p := ProcessResult{Name: e.Name, SwitchTime: -1}
		highest := make(map[string]int64)
		for _, s := range v.samples[e.Name] {
			p.countReverts(s, highest)
			version := s.versions[configuration.PresetsObject]
			if s.taken.Before(cutAt) {
				p.Before = version
			}
			if s.taken.Before(healAt) {
				p.During = version
			}
			p.After = version
			if s.preset == switchedPreset && p.SwitchTime < 0 {
				p.SwitchTime = switchTime(s.taken, switchAt, healAt)
			}
		}
		results = append(results, p)
	}
	return results
}

// switchTime returns the time until at, from the switch or, if at is after the heal, from the heal.
func switchTime(at, switchAt, healAt time.Time) time.Duration {
	if at.Before(healAt) {
		return at.Sub(switchAt)
	}
	return at.Sub(healAt)
}

// countReverts counts the objects of a sample whose version is lower than one seen before.
func (p *ProcessResult) countReverts(s sample, highest map[string]int64) {
	for name, version := range s.versions {
		if version < highest[name] {
			p.Reverts++
		}
		highest[name] = max(highest[name], version)
	}
}
