package fleet_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/configuration"
	"bramleystand.org/replay/internal/deployment"
	"bramleystand.org/replay/internal/fleet"
)

// Guards against a planned fleet whose configuration the system refuses, for example
// because of duplicate names or a data centre without servers of a service.
func TestPlan(t *testing.T) {
	for _, d := range deployment.All() {
		f, err := fleet.Plan(fleet.Options{Deployment: d, Centres: 2, Entries: 2, Servers: 8})
		must.NoError(t, err)
		must.Len(t, 4, f.Entries)
		must.Len(t, 16, f.Servers)
		services := f.Services()
		must.Len(t, 2, services)
		for _, s := range services {
			must.Len(t, 2, s.Homes)
			content, err := configuration.EncodeService(s)
			must.NoError(t, err)
			_, err = configuration.DecodeService(content)
			must.NoError(t, err)
		}
	}
	_, err := fleet.Plan(fleet.Options{Deployment: deployment.All()[1], Centres: 4, Entries: 1, Servers: 4})
	must.ErrorContains(t, err, "4 data centres")
}
