package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// dumpJSON is the part of an entry process's state dump that names its active preset.
type dumpJSON struct {
	Preset string `json:"preset"`
}

// AwaitPreset waits until a preset is active at an entry VM, at most until the deadline.
func (f *Fleet) AwaitPreset(ctx context.Context, e *Entry, preset string, deadline time.Time) error {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		got, err := f.activePreset(ctx, e)
		if err == nil && got == preset {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("fleet: %s has preset %q active instead of %q: %w", e.Name, got, preset, ctx.Err())
		case <-ticker.C:
		}
	}
}

// activePreset returns the name of the preset that is active at an entry VM.
func (f *Fleet) activePreset(ctx context.Context, e *Entry) (string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.AdminAddress.String()+"/dump", http.NoBody)
	if err != nil {
		return "", err
	}
	response, err := f.client.Do(r)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return "", eris.Errorf("dump of %s: status %d", e.Name, response.StatusCode)
	}
	var d dumpJSON
	if err := json.NewDecoder(response.Body).Decode(&d); err != nil {
		return "", fmt.Errorf("dump of %s: %w", e.Name, err)
	}
	return d.Preset, nil
}
