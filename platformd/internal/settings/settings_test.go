package settings_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"bramleystand.org/platformd/internal/settings"
)

// Guards against accepting a file of VMs with unknown fields, an unknown state or no name.
func TestReadVMs(t *testing.T) {
	s := settings.Settings{VMs: filepath.Join(t.TempDir(), "vms.json")}
	for text, want := range map[string]string{
		`[{"name":"a","dc":"klm","state":"live"}]`:   "",
		`[{"name":"a","dc":"klm","state":"gone"}]`:   `"gone"`,
		`[{"name":"a","zone":"klm"}]`:                "zone",
		`{"name":"a"}`:                               "cannot unmarshal",
		`[{"name":"","dc":"klm","state":"leaving"}]`: "name",
	} {
		must.NoError(t, os.WriteFile(s.VMs, []byte(text), 0o600))
		list, err := s.ReadVMs()
		if want == "" {
			must.NoError(t, err)
			must.Eq(t, "klm", list[0].DataCentre)
			continue
		}
		must.ErrorContains(t, err, want)
	}
}
