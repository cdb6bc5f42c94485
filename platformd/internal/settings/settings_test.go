package settings_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"bramleystand.org/platformd/internal/settings"
)

// Guards against a file of VMs that is read in part or with unknown states.
func TestReadMachines(t *testing.T) {
	s := settings.Settings{Machines: filepath.Join(t.TempDir(), "machines.json")}
	for text, want := range map[string]string{
		`[{"name":"a","dc":"klm","state":"live"}]`:   "",
		`[{"name":"a","dc":"klm","state":"gone"}]`:   `"gone"`,
		`[{"name":"a","zone":"klm"}]`:                "zone",
		`{"name":"a"}`:                               "cannot unmarshal",
		`[{"name":"","dc":"klm","state":"leaving"}]`: "name",
	} {
		must.NoError(t, os.WriteFile(s.Machines, []byte(text), 0o600))
		list, err := s.ReadMachines()
		if want == "" {
			must.NoError(t, err)
			must.Eq(t, "klm", list[0].DataCentre)
			continue
		}
		must.ErrorContains(t, err, want)
	}
}
