package settings_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/settings"
)

type inner struct {
	Count uint16 `json:"count"`
}

type document struct {
	Name  string            `json:"name"`
	Stop  settings.Duration `json:"stop,omitempty"`
	Parts []inner           `json:"parts,omitempty"`
	Seed  netip.AddrPort    `json:"seed,omitempty"`
	Big   int64             `json:"big,omitempty"`
	On    bool              `json:"on,omitempty"`
	Share float64           `json:"share,omitempty"`
}

// Guards against a valid document being rejected or read into the wrong fields.
func TestDecode(t *testing.T) {
	var d document
	text := `{"name":"a","stop":"1.5s","parts":[{"count":2},{"count":65535}],"seed":"[::1]:9","big":-9223372036854775808,"on":true,"share":0.25}`
	must.NoError(t, settings.Decode([]byte(text), &d))
	must.Eq(t, document{
		Name: "a", Stop: settings.Duration(1500 * time.Millisecond), Parts: []inner{{2}, {65535}},
		Seed: netip.MustParseAddrPort("[::1]:9"), Big: -1 << 63, On: true, Share: 0.25,
	}, d)
}

// Guards against input that encoding/json would silently accept, and against errors
// that do not say which field and value is wrong and what is allowed.
func TestDecodeErrors(t *testing.T) {
	for text, want := range map[string]string{
		`{"name":"a","colour":{"x":[1]}}`:            `colour: an unknown field is not allowed, allowed: big, name, on, parts, seed, share, stop`,
		`{"Name":"a"}`:                               `Name: an unknown field`,
		`{"name":"a","name":"b"}`:                    `name: a second value is not allowed, allowed: each field once`,
		`{}`:                                         `name: a missing field`,
		`{"name":null}`:                              `name: null is not allowed, allowed: a string`,
		`{"name":{"a":[{}]}}`:                        `name: an object is not allowed, allowed: a string`,
		`{"name":"a","on":"true"}`:                   `on: "true" is not allowed, allowed: true or false`,
		`{"name":"a"} {}`:                            `document: trailing data is not allowed, allowed: nothing after`,
		`{"name":"a"}}`:                              `allowed: nothing after`,
		`[]`:                                         `document: a list is not allowed, allowed: an object`,
		`{"name":"a","parts":[{"count":70000}]}`:     `parts[0].count: 70000 is not allowed, allowed: a whole number from 0 to 65535`,
		`{"name":"a","parts":[{"count":1},{}]}`:      `parts[1].count: a missing field`,
		`{"name":"a","parts":{}}`:                    `parts: an object is not allowed, allowed: a list`,
		`{"name":"a","big":1.5}`:                     `big: 1.5 is not allowed, allowed: a whole number from -9223372036854775808`,
		`{"name":"a","share":"1"}`:                   `share: "1" is not allowed, allowed: a number`,
		`{"name":"a","share":1e999}`:                 `share: 1e999 is not allowed, allowed: a number`,
		`{"name":"a","stop":"20"}`:                   `stop: "20" is not allowed, allowed: a duration with unit`,
		`{"name":"a","stop":20}`:                     `stop: 20 is not allowed, allowed: a string`,
		`{"name":"a","seed":"localhost:80"}`:         `seed: "localhost:80" is not allowed, allowed: an IP address with port`,
		`{"name":"a","seed":[]}`:                     `seed: a list is not allowed, allowed: an IP address with port`,
		`{"name":"a"`:                                `invalid JSON near byte`,
		``:                                           `invalid JSON near byte 0`,
		"{\"name\":\"\xff\"}":                        `not valid UTF-8`,
		`{"name":"a","stop":"x","on":1,"big":"one"}`: `big: "one" is not allowed`,
	} {
		err := settings.Decode([]byte(text), &document{})
		must.ErrorContains(t, err, want, must.Sprint(text))
	}
}

// Guards against only the first of several errors being reported.
func TestDecodeReportsAllErrors(t *testing.T) {
	err := settings.Decode([]byte(`{"stop":"x","on":1}`), &document{})
	for _, field := range []string{"name", "stop", "on"} {
		must.ErrorContains(t, err, field+": ")
	}
}
