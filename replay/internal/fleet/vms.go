package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/rotisserie/eris"
)

// vmsJSON is the list of VMs that the platform publishes.
type vmsJSON struct {
	VMs []vmJSON `json:"vms"`
}

// vmJSON is a VM in that list.
type vmJSON struct {
	Name  string `json:"name"`
	DC    string `json:"dc"`
	State string `json:"state"`
}

// liveState is the state of a VM that is neither leaving nor gone.
const liveState = "live"

// registerVMs sends the list of all VMs to the platform.
func (f *Fleet) registerVMs(ctx context.Context) error {
	var list vmsJSON
	for _, e := range f.Entries {
		list.VMs = append(list.VMs, vmJSON{Name: e.Name, DC: e.DataCentre, State: liveState})
	}
	for _, s := range f.Servers {
		list.VMs = append(list.VMs, vmJSON{Name: s.Name, DC: s.DataCentre, State: liveState})
	}
	content, err := json.Marshal(list)
	if err != nil {
		return fmt.Errorf("encode vms: %w", err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.Address.String()+"/vms", bytes.NewReader(content))
	if err != nil {
		return fmt.Errorf("register vms: %w", err)
	}
	response, err := f.client.Do(r)
	if err != nil {
		return fmt.Errorf("register vms: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		message, _ := io.ReadAll(response.Body)
		return eris.Errorf("register vms: status %d: %s", response.StatusCode, message)
	}
	return nil
}
