package controller_test

import (
	"fmt"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"

	"bramleystand.org/common/configuration"
	"bramleystand.org/common/shard"
	"bramleystand.org/entry/internal/control"
	"bramleystand.org/entry/internal/controller"
	"bramleystand.org/entry/internal/lease"
)

// shardsPerUpstream is about the number at Chikushi: 1,024 shards over 30 upstreams.
const shardsPerUpstream = 32

// encodedSize returns the length of a message in CBOR with structs as arrays, as on the wire.
func encodedSize(message any) float64 {
	b, err := cbor.Marshal(structsToSlices(reflect.ValueOf(message)))
	if err != nil {
		panic(err)
	}
	return float64(len(b))
}

// structsToSlices replaces structs by slices of their fields, recursively.
func structsToSlices(v reflect.Value) any {
	if a, ok := v.Interface().(netip.AddrPort); ok {
		b, _ := a.MarshalBinary()
		return b
	}
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() {
			return nil
		}
		return structsToSlices(v.Elem())
	case reflect.Struct:
		var list []any
		for _, f := range v.Fields() {
			list = append(list, structsToSlices(f))
		}
		return list
	case reflect.Slice:
		list := make([]any, v.Len())
		for i := range list {
			list[i] = structsToSlices(v.Index(i))
		}
		return list
	default:
		return v.Interface()
	}
}

// entryVMs returns n entry VMs of the data centre.
func entryVMs(n int) []control.Member {
	list := make([]control.Member, n)
	for i := range list {
		list[i] = control.Member{
			Name: fmt.Sprintf("entry-%03d", i), Incarnation: 1, DataCentre: dataCentre,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000),
		}
	}
	return list
}

// newSoleController returns a controller without other members and the leaseholder of all its upstreams, both in one VM.
func newSoleController(tb testing.TB, upstreams int) (*controller.Controller, *lease.Holder, time.Time) {
	tb.Helper()
	live := entryVMs(1)
	c, now := newSharedController(tb, upstreams, live, nil, func(*controller.Controller, time.Time) {})
	h := lease.New(pair, live[0])
	h.Follow(c.Succession())
	return c, h, now
}

// newSharedController returns a controller without other members that has divided its upstreams between the given entry
// VMs, of which the first is its own. It calls renew once per renewal interval.
func newSharedController(tb testing.TB, upstreams int, live []control.Member, planner controller.Planner, renew func(*controller.Controller, time.Time)) (*controller.Controller, time.Time) {
	tb.Helper()
	self := live[0]
	service := &configuration.Service{
		Name: pair.Service, Shards: uint32(upstreams * shardsPerUpstream),
		Homes: []configuration.HomeRange{{DataCentre: dataCentre, Last: shard.Shard(upstreams*shardsPerUpstream - 1)}},
	}
	for i := range upstreams {
		service.Upstreams = append(service.Upstreams, configuration.Upstream{Name: fmt.Sprintf("server-%04d", i), DataCentre: dataCentre})
	}
	now := epoch
	c := controller.New(pair, self, planner)
	c.SetVMs(now, live, nil)
	c.Configure(now, service, nil)
	c.AdoptSuccession(now, control.Succession{Pair: pair, Term: 1, Founded: 1, Version: 1, Members: []control.Member{self}})
	for range 5 {
		now = now.Add(control.RenewInterval)
		c.Tick(now)
		answerStoreCalls(c, now)
		renew(c, now)
	}
	must.NotNil(tb, c.Table())
	return c, now
}

// answerStoreCalls answers the controller's platform calls for the table.
func answerStoreCalls(c *controller.Controller, now time.Time) {
	for _, e := range c.TakeEffects() {
		switch e.Kind {
		case controller.LoadTable:
			c.TableLoaded(now, nil, 0, true)
		case controller.StoreTable:
			c.TableStored(now, e.ExpectedVersion+1, controller.WriteStored)
		}
	}
}

// shardLoads returns a load for each shard of a placement.
func shardLoads(p control.Placement) []control.ShardLoad {
	list := make([]control.ShardLoad, len(p.Shards))
	for i, s := range p.Shards {
		list[i] = control.ShardLoad{Shard: s, Load: float64(s) / 7}
	}
	return list
}

// BenchmarkRenew measures the state machines at both ends of one renewal and the size of its messages.
func BenchmarkRenew(b *testing.B) {
	for _, n := range []int{30, 300, 2100} {
		for _, loaded := range []bool{false, true} {
			b.Run(fmt.Sprintf("upstreams=%d/loads=%v", n, loaded), func(b *testing.B) {
				c, h, now := newSoleController(b, n)
				var load [][]control.ShardLoad
				for _, l := range c.Table().Placements {
					load = append(load, shardLoads(l))
				}
				var q control.RenewRequest
				var p control.RenewResponse
				renew := func() {
					now = now.Add(control.RenewInterval)
					if loaded {
						for i, name := range h.Upstreams() {
							h.SetServerReport(now, name, control.Alive, load[i])
						}
					}
					q = h.Renew(now)[0].Request
					p = c.HandleRenew(now, q)
					h.ApplyResponse(now, now, p)
				}
				renew()
				full := encodedSize(p)
				b.ResetTimer()
				for b.Loop() {
					renew()
				}
				b.ReportMetric(encodedSize(q), "request-B")
				b.ReportMetric(encodedSize(p), "response-B")
				b.ReportMetric(full, "first-response-B")
			})
		}
	}
}

// BenchmarkSupport measures a member's handling of one request for support, and the size of its messages.
func BenchmarkSupport(b *testing.B) {
	for _, n := range []int{30, 300, 2100} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			c, _, now := newSoleController(b, n)
			t := *c.Table()
			candidate := control.Member{Name: "entry-01", Incarnation: 1, DataCentre: dataCentre, Address: netip.MustParseAddrPort("10.0.0.2:7000")}
			self := t.Placements[0].Leaseholder
			m := controller.New(pair, self, nil)
			r := control.Succession{Pair: pair, Term: 2, Founded: 1, Version: 9, Members: []control.Member{candidate, self}}
			q := control.SupportRequest{Pair: pair, Term: 2, Record: 9, Succession: &r, Candidate: candidate, Elected: true, Version: t.Version(), Table: &t}
			changed := encodedSize(q)
			must.True(b, m.HandleSupport(now, q).Accepted)
			q.Succession, q.Table = nil, nil
			var p control.SupportResponse
			b.ResetTimer()
			for b.Loop() {
				now = now.Add(control.RenewInterval)
				p = m.HandleSupport(now, q)
			}
			b.ReportMetric(encodedSize(q), "request-B")
			b.ReportMetric(encodedSize(p), "response-B")
			b.ReportMetric(changed, "changed-request-B")
		})
	}
}
