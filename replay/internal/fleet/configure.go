package fleet

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"

	"bramleystand.org/common/configuration"
)

// Shards is the number of shards of each service; it is the system's default.
const Shards = 1024

// author is the author named in every write to the platform.
const author = "replay"

// configure stores the presets and the service configurations on the platform.
func (f *Fleet) configure(ctx context.Context) error {
	presets, err := configuration.EncodePresets(configuration.DefaultPresets())
	if err != nil {
		return fmt.Errorf("encode presets: %w", err)
	}
	if err := f.Put(ctx, configuration.PresetsObject, presets); err != nil {
		return err
	}
	for _, s := range f.Services() {
		content, err := configuration.EncodeService(s)
		if err != nil {
			return fmt.Errorf("encode service %s: %w", s.Name, err)
		}
		if err := f.Put(ctx, configuration.ServiceObject(s.Name), content); err != nil {
			return err
		}
	}
	return nil
}

// Services returns the configuration of each service that has servers in the fleet.
func (f *Fleet) Services() []configuration.Service {
	var services []configuration.Service
	for _, d := range f.options.Deployment.Services {
		s := configuration.Service{Name: d.Name, Shards: Shards}
		for _, b := range f.Servers {
			if b.Service != d.Name {
				continue
			}
			s.Upstreams = append(s.Upstreams, configuration.Upstream{
				Name: b.Name, DataCentre: b.DataCentre, Address: b.Address,
				Slots: b.Slots, Connections: b.Connections, Fenced: !f.options.Unfenced,
			})
		}
		if len(s.Upstreams) == 0 {
			continue
		}
		s.Homes = configuration.DefaultHomes(s.Shards, s.Upstreams)
		services = append(services, s)
	}
	return services
}

// Put stores an object on the platform and replaces the current version, if any. It fails
// if the object changes meanwhile.
func (f *Fleet) Put(ctx context.Context, name string, content []byte) error {
	_, version, err := f.Get(ctx, name)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, f.objectURL(name), bytes.NewReader(content))
	if err != nil {
		return fmt.Errorf("put %s: %w", name, err)
	}
	r.Header.Set("If-Version", strconv.FormatInt(version, 10))
	r.Header.Set("Author", author)
	r.Header.Set("Change", fmt.Sprintf("%s-%d", name, version))
	response, err := f.client.Do(r)
	if err != nil {
		return fmt.Errorf("put %s: %w", name, err)
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		message, _ := io.ReadAll(response.Body)
		return eris.Errorf("put %s: status %d: %s", name, response.StatusCode, message)
	}
	return nil
}
