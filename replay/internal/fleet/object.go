package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/rotisserie/eris"
)

// objectJSON is an object of the platform.
type objectJSON struct {
	Version int64           `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// object returns the URL of an object.
func (f *Fleet) object(name string) string {
	return "http://" + f.Address.String() + "/objects/" + name
}

// Get returns an object of the platform and its version; version 0 means that it does not exist.
func (f *Fleet) Get(ctx context.Context, name string) ([]byte, int64, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, f.object(name), http.NoBody)
	if err != nil {
		return nil, 0, fmt.Errorf("get %s: %w", name, err)
	}
	response, err := f.client.Do(r)
	if err != nil {
		return nil, 0, fmt.Errorf("get %s: %w", name, err)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotFound {
		return nil, 0, nil
	}
	if response.StatusCode != http.StatusOK {
		return nil, 0, eris.Errorf("get %s: status %d", name, response.StatusCode)
	}
	var o objectJSON
	if err := json.NewDecoder(response.Body).Decode(&o); err != nil {
		return nil, 0, fmt.Errorf("get %s: %w", name, err)
	}
	return o.Value, o.Version, nil
}
