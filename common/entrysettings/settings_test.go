package entrysettings_test

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/entrysettings"
)

const validSettings = `{
	"name": "tvm-1", "centre": "tvm", "region": "kerala-south",
	"caller": "127.0.0.1:7001", "peer": "127.0.0.1:7002", "admin": "127.0.0.1:7003",
	"platform": "127.0.0.1:7100", "seeds": ["127.0.0.1:7002", "127.0.0.1:7012"],
	"stop": "20s", "body": 67108864
}`

// Guards against a setting that is read into the wrong field.
func TestParse(t *testing.T) {
	s, err := entrysettings.Parse([]byte(validSettings))
	must.NoError(t, err)
	addrPort := netip.MustParseAddrPort
	must.Eq(t, entrysettings.Settings{
		Name: "tvm-1", DataCentre: "tvm", Region: "kerala-south",
		CallerAddress: addrPort("127.0.0.1:7001"), PeerAddress: addrPort("127.0.0.1:7002"), AdminAddress: addrPort("127.0.0.1:7003"), Platform: addrPort("127.0.0.1:7100"),
		Seeds: []netip.AddrPort{addrPort("127.0.0.1:7002"), addrPort("127.0.0.1:7012")}, Stop: 20 * time.Second, MaxBodyBytes: 64 << 20,
	}, s)
	s, err = entrysettings.Parse([]byte(strings.Replace(validSettings, `"seeds"`, `"announce": "127.0.0.9:7009", "seeds"`, 1)))
	must.NoError(t, err)
	must.Eq(t, addrPort("127.0.0.9:7009"), s.AnnouncedAddress)
}

// Guards against a process that starts with unusable settings, and against errors that do not name
// the field, the value and what is allowed.
func TestParseErrors(t *testing.T) {
	for change, want := range map[string]string{
		`"tvm-1"=>"TVM 1"`:                                   `name: "TVM 1" is not allowed, allowed: 1 to 63`,
		`"kerala-south"=>""`:                                 `region: "" is not allowed`,
		`"127.0.0.1:7003"=>"127.0.0.1:7001"`:                 `admin: 127.0.0.1:7001 is not allowed, allowed: an address other than that of caller`,
		`"caller": "127.0.0.1:7001"=>"caller":"127.0.0.1:0"`: `caller: 127.0.0.1:0 is not allowed, allowed: an IP address with a port other than 0`,
		`"peer": "127.0.0.1:7002"=>"peer":"0.0.0.0:7002"`:    `peer: 0.0.0.0:7002 is not allowed, allowed: an address at which`,
		`"seeds"=>"announce":"0.0.0.0:7009","seeds"`:         `announce: 0.0.0.0:7009 is not allowed, allowed: an IP address and port at which`,
		`"seeds"=>"announce":"127.0.0.1:7001","seeds"`:       `announce: 127.0.0.1:7001 is not allowed, allowed: an address other than that of caller`,
		`"seeds"=>"announce":"entry:7009","seeds"`:           `announce: "entry:7009" is not allowed`,
		`"127.0.0.1:7100"=>"platform:80"`:                    `platform: "platform:80" is not allowed, allowed: an IP address with port`,
		`"127.0.0.1:7012"=>"127.0.0.1:0"`:                    `seeds[1]: 127.0.0.1:0 is not allowed`,
		`"20s"=>"20ms"`:                                      `stop: 20ms is not allowed, allowed: 1s to 10m0s`,
		`67108864=>1`:                                        `body: 1 is not allowed, allowed: 1024 to 4294967296 bytes`,
		`"stop"=>"halt"`:                                     `halt: an unknown field`,
	} {
		from, to, _ := strings.Cut(change, "=>")
		_, err := entrysettings.Parse([]byte(strings.Replace(validSettings, from, to, 1)))
		must.ErrorContains(t, err, want, must.Sprint(change))
	}
}

// Guards against errors of the parser hiding those of the validator, and against reporting a field
// twice.
func TestParseReportsEachFieldOnce(t *testing.T) {
	text := strings.NewReplacer(`"20s"`, `20`, `67108864`, `1`, `"tvm-1"`, `""`).Replace(validSettings)
	_, err := entrysettings.Parse([]byte(text))
	for _, field := range []string{"stop: ", "body: ", "name: "} {
		must.ErrorContains(t, err, field)
		must.Eq(t, 1, strings.Count(err.Error(), field))
	}
}
