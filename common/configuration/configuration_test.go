package configuration_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/configuration"
	"bramleystand.org/common/shard"
)

// testService returns a valid service with four upstreams in three data centres.
func testService() configuration.Service {
	s := configuration.Service{Name: "seat-desk", Shards: 1024}
	for i, c := range []string{"tvm", "klm", "alp", "tvm"} {
		s.Upstreams = append(s.Upstreams, configuration.Upstream{
			Name: "seat-" + string(rune('a'+i)), DataCentre: c, Slots: 4, Connections: 110, Fenced: i%2 == 0,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
		})
	}
	s.Homes = configuration.DefaultHomes(s.Shards, s.Upstreams)
	return s
}

// Guards against a field that is lost or exchanged with another in the conversion to JSON and back.
func TestRoundTrip(t *testing.T) {
	s := testService()
	data, err := configuration.EncodeService(s)
	must.NoError(t, err)
	gotService, err := configuration.DecodeService(data)
	must.NoError(t, err)
	must.Eq(t, s.Homes, gotService.Homes)
	must.Eq(t, s.Name, gotService.Name)
	must.Eq(t, s.Shards, gotService.Shards)
	for i := range s.Upstreams {
		must.True(t, s.Upstreams[i] == gotService.Upstreams[i])
	}

	p := configuration.DefaultPresets()
	data, err = configuration.EncodePresets(p)
	must.NoError(t, err)
	gotPresets, err := configuration.DecodePresets(data)
	must.NoError(t, err)
	must.Eq(t, p, gotPresets)

	l := configuration.Leaving{VM: "entry-3", Author: "mika", Since: time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)}
	data, err = configuration.EncodeLeaving(l)
	must.NoError(t, err)
	gotLeaving, err := configuration.DecodeLeaving(data)
	must.NoError(t, err)
	must.Eq(t, l, gotLeaving)
}

// Guards against accepting services that can't be routed to, and against errors that do not name
// the field, the value and what is allowed.
func TestValidateService(t *testing.T) {
	for want, change := range map[string]func(*configuration.Service){
		`name: "Seat Desk" is not allowed, allowed: 1 to 63 lower-case`:                              func(s *configuration.Service) { s.Name = "Seat Desk" },
		`name: "a@b" is not allowed`:                                                                 func(s *configuration.Service) { s.Name = "a@b" },
		`shards: 1000 is not allowed, allowed: a power of two from 1 to 65536`:                       func(s *configuration.Service) { s.Shards = 1000 },
		`shards: 0 is not allowed`:                                                                   func(s *configuration.Service) { s.Shards = 0 },
		`shards: 131072 is not allowed`:                                                              func(s *configuration.Service) { s.Shards = 131072 },
		`upstreams: an empty list is not allowed, allowed: at least one`:                             func(s *configuration.Service) { s.Upstreams = nil },
		`upstreams[1].name: "seat-a" is not allowed, allowed: a name that no other`:                  func(s *configuration.Service) { s.Upstreams[1].Name = "seat-a" },
		`upstreams[1].address: 10.0.0.0:80 is not allowed, allowed: an address that no other`:        func(s *configuration.Service) { s.Upstreams[1].Address = s.Upstreams[0].Address },
		`upstreams[0].address: 10.0.0.0:0 is not allowed, allowed: an IP address with a port`:        func(s *configuration.Service) { s.Upstreams[0].Address = netip.MustParseAddrPort("10.0.0.0:0") },
		`upstreams[2].centre: "" is not allowed`:                                                     func(s *configuration.Service) { s.Upstreams[2].DataCentre = "" },
		`upstreams[2].slots: 0 is not allowed, allowed: 1 to 10000`:                                  func(s *configuration.Service) { s.Upstreams[2].Slots = 0 },
		`upstreams[3].connections: -1 is not allowed, allowed: 1 to 10000`:                           func(s *configuration.Service) { s.Upstreams[3].Connections = -1 },
		`homes[0].centre: "kurume" is not allowed, allowed: a data centre that has an upstream`:      func(s *configuration.Service) { s.Homes[0].DataCentre = "kurume" },
		`homes: an end at shard 511 is not allowed, allowed: ranges that end at shard 1023`:          func(s *configuration.Service) { s.Homes = s.Homes[:2] },
		`homes: an end at shard 1024 is not allowed`:                                                 func(s *configuration.Service) { s.Homes[2].Last++ },
		`homes: an end at shard -1 is not allowed`:                                                   func(s *configuration.Service) { s.Homes = nil },
		`homes[1].first: 255 is not allowed, allowed: 256, so that every shard has exactly one home`: func(s *configuration.Service) { s.Homes[1].First-- },
		`homes[1].first: 257 is not allowed, allowed: 256, so that every shard has exactly one home`: func(s *configuration.Service) { s.Homes[1].First++ },
		`homes[1].last: 3 is not allowed, allowed: 256 or more`:                                      func(s *configuration.Service) { s.Homes[1].Last = 3 },
		`homes[3].first: 5 is not allowed, allowed: 256, so that every shard has exactly one home`: func(s *configuration.Service) {
			s.Homes = append(s.Homes, configuration.HomeRange{DataCentre: "tvm", First: 5, Last: 6})
		},
	} {
		s := testService()
		change(&s)
		must.ErrorContains(t, s.Validate(), want)
	}
}

// Guards against accepting presets with limits out of range, or of which none is active.
func TestValidatePresets(t *testing.T) {
	for want, change := range map[string]func(*configuration.Presets){
		`active: "festival" is not allowed, allowed: the name of a preset, one of ["ordinary" "peak" "maintenance"]`: func(p *configuration.Presets) { p.Active = "festival" },
		`presets[1].name: "ordinary" is not allowed, allowed: a name that no other`:                                  func(p *configuration.Presets) { p.Items[1].Name = "ordinary" },
		`presets[0].ranks: a sum of floors of 110 is not allowed, allowed: a sum of at most 100`:                     func(p *configuration.Presets) { p.Items[0].Ranks[1].Floor = 60 },
		`presets[0].ranks.lookup.floor: -1 is not allowed, allowed: 0 to 100`:                                        func(p *configuration.Presets) { p.Items[0].Ranks[1].Floor = -1 },
		`presets[2].ranks.upload.cap: 4 is not allowed, allowed: 5 to 100`:                                           func(p *configuration.Presets) { p.Items[2].Ranks[2].Cap = 4 },
		`presets[0].ranks.confirmation.queue: 0 is not allowed, allowed: 1 to 1000000`:                               func(p *configuration.Presets) { p.Items[0].Ranks[0].Queue = 0 },
		`presets[0].ranks.confirmation.timeout: 0s is not allowed, allowed: 1ms to 10m0s`:                            func(p *configuration.Presets) { p.Items[0].Ranks[0].Timeout = 0 },
		`presets[1].drain: 10m0s is not allowed, allowed: more than 0s, at most 5m0s`:                                func(p *configuration.Presets) { p.Items[1].Drain = 10 * time.Minute },
	} {
		p := configuration.DefaultPresets()
		change(&p)
		must.ErrorContains(t, p.Validate(), want)
	}
	p := configuration.DefaultPresets()
	must.NoError(t, p.Validate())
}

// Guards against accepting a mark without its VM, author or time.
func TestDecodeLeavingErrors(t *testing.T) {
	for text, want := range map[string]string{
		`{"vm":"","author":"a","since":"2026-03-01T08:00:00Z"}`:  `vm: "" is not allowed`,
		`{"vm":"a","author":"","since":"2026-03-01T08:00:00Z"}`:  `author: "" is not allowed, allowed: 1 to 200 bytes`,
		`{"vm":"a","author":"a","since":"today"}`:                `since: "today" is not allowed, allowed: a time such as`,
		`{"vm":"a","author":"a","since":"0001-01-01T00:00:00Z"}`: `since: no time is not allowed`,
		`{"vm":"a","author":"a"}`:                                `since: a missing field`,
	} {
		_, err := configuration.DecodeLeaving([]byte(text))
		must.ErrorContains(t, err, want)
	}
}

// Guards against default homes that are not in proportion to the slots of the data centres, or that
// leave shards without a home.
func TestDefaultHomes(t *testing.T) {
	must.Eq(t, []configuration.HomeRange{
		{DataCentre: "alp", First: 0, Last: 255},
		{DataCentre: "klm", First: 256, Last: 511},
		{DataCentre: "tvm", First: 512, Last: 1023},
	}, testService().Homes)
	must.Nil(t, configuration.DefaultHomes(16, nil))
	one := []configuration.Upstream{{DataCentre: "a", Slots: 1}, {DataCentre: "b", Slots: 9}}
	must.Eq(t, []configuration.HomeRange{{DataCentre: "b", Last: 3}}, configuration.DefaultHomes(4, one))
}

// Guards against object names that do not map back to their service or VM, and against a shard that
// is assigned to the wrong data centre.
func TestObjectNames(t *testing.T) {
	name, ok := configuration.ServiceFromObject(configuration.ServiceObject("log-store"))
	must.True(t, ok)
	must.Eq(t, "log-store", name)
	vm, ok := configuration.VMFromObject(configuration.LeavingObject("vm-1"))
	must.True(t, ok)
	must.Eq(t, "vm-1", vm)
	for _, n := range []string{"services/", "services/a/b", "preset", "leaving/x"} {
		_, ok = configuration.ServiceFromObject(n)
		must.False(t, ok, must.Sprint(n))
	}
	s := testService()
	must.Eq(t, "tvm", s.HomeDataCentre(shard.Shard(600)))
}

// Measures decoding a service of 2,100 upstreams, which every entry process does after each change.
func BenchmarkDecodeService(b *testing.B) {
	s := testService()
	for i := range 2096 {
		u := s.Upstreams[i%4]
		u.Name += string(rune('a'+i%26)) + string(rune('a'+i/26%26)) + string(rune('a'+i/676))
		u.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 80)
		s.Upstreams = append(s.Upstreams, u)
	}
	data, err := configuration.EncodeService(s)
	must.NoError(b, err)
	b.SetBytes(int64(len(data)))
	for b.Loop() {
		if _, err := configuration.DecodeService(data); err != nil {
			b.Fatal(err)
		}
	}
}
