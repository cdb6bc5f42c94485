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

// vmsJSON is the platform's list of VMs.
type vmsJSON struct {
	VMs []vmJSON `json:"vms"`
}

type vmJSON struct {
	Name  string `json:"name"`
	DC    string `json:"dc"`
	State string `json:"state"`
}

// live is the state of a VM that is neither leaving nor gone.
const live = "live"

// list tells the platform which VMs there are.
func (f *Fleet) list(ctx context.Context) error {
	var m vmsJSON
	for _, e := range f.Entries {
		m.VMs = append(m.VMs, vmJSON{Name: e.Name, DC: e.DataCentre, State: live})
	}
	for _, s := range f.Servers {
		m.VMs = append(m.VMs, vmJSON{Name: s.Name, DC: s.DataCentre, State: live})
	}
	content, err := json.Marshal(m)
	if err != nil {
		return fmt.Errorf("encode vms: %w", err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.Address.String()+"/vms", bytes.NewReader(content))
	if err != nil {
		return fmt.Errorf("list vms: %w", err)
	}
	response, err := f.client.Do(r)
	if err != nil {
		return fmt.Errorf("list vms: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		reason, _ := io.ReadAll(response.Body)
		return eris.Errorf("list vms: status %d: %s", response.StatusCode, reason)
	}
	return nil
}
