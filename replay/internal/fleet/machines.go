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

// machinesJSON is the platform's list of VMs.
type machinesJSON struct {
	Machines []machineJSON `json:"machines"`
}

type machineJSON struct {
	Name  string `json:"name"`
	DC    string `json:"dc"`
	State string `json:"state"`
}

// live is the state of a VM that is neither leaving nor gone.
const live = "live"

// list tells the platform which VMs there are.
func (f *Fleet) list(ctx context.Context) error {
	var m machinesJSON
	for _, e := range f.Entries {
		m.Machines = append(m.Machines, machineJSON{Name: e.Name, DC: e.DataCentre, State: live})
	}
	for _, s := range f.Servers {
		m.Machines = append(m.Machines, machineJSON{Name: s.Name, DC: s.DataCentre, State: live})
	}
	content, err := json.Marshal(m)
	if err != nil {
		return fmt.Errorf("encode machines: %w", err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.Address.String()+"/machines", bytes.NewReader(content))
	if err != nil {
		return fmt.Errorf("list machines: %w", err)
	}
	response, err := f.client.Do(r)
	if err != nil {
		return fmt.Errorf("list machines: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		reason, _ := io.ReadAll(response.Body)
		return eris.Errorf("list machines: status %d: %s", response.StatusCode, reason)
	}
	return nil
}
