package fleet

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"
)

// objectURL returns the URL of an object on the platform.
func (f *Fleet) objectURL(name string) string {
	return "http://" + f.Address.String() + "/objects/" + name
}

// Get returns the content and the version of an object on the platform. Version 0 means
// that the object does not exist.
func (f *Fleet) Get(ctx context.Context, name string) ([]byte, int64, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, f.objectURL(name), http.NoBody)
	if err != nil {
		return nil, 0, fmt.Errorf("get %s: %w", name, err)
	}
	response, err := f.client.Do(r)
	if err != nil {
		return nil, 0, fmt.Errorf("get %s: %w", name, err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, 0, fmt.Errorf("get %s: %w", name, err)
	}
	if response.StatusCode == http.StatusNotFound {
		return nil, 0, nil
	}
	if response.StatusCode != http.StatusOK {
		return nil, 0, eris.Errorf("get %s: status %d: %s", name, response.StatusCode, content)
	}
	version, err := strconv.ParseInt(response.Header.Get("Version"), 10, 64)
	if err != nil {
		return nil, 0, fmt.Errorf("get %s: header Version: %w", name, err)
	}
	return content, version, nil
}
