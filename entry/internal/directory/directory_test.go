package directory_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/configuration"
	"bramleystand.org/common/fence"
	"bramleystand.org/common/shard"
	"bramleystand.org/entry/internal/control"
	"bramleystand.org/entry/internal/directory"
)

var start = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

func member(name string, incarnation int64) control.Member {
	return control.Member{
		Name: name, Incarnation: incarnation, DataCentre: name[:3],
		Address: netip.MustParseAddrPort("127.0.0.1:7002"),
	}
}

func newDirectory(name string, incarnation int64) *directory.Directory {
	return directory.New(start, member(name, incarnation), nil, rand.New(rand.NewPCG(1, 2)))
}

// exchange runs one exchange without losses and returns its number of round trips.
func exchange(now time.Time, from, to *directory.Directory) int {
	message := from.Digest(now)
	for n := 1; ; n++ {
		next, more := from.Merge(now, to.Offer(now, message))
		if !more || n == directory.MaxExchangeRounds {
			return n
		}
		message = next
	}
}

func serviceObject(version int64, upstreams int) control.Object {
	s := configuration.Service{Name: "seat-desk", Shards: 16}
	for i := range upstreams {
		s.Upstreams = append(s.Upstreams, configuration.Upstream{
			Name: fmt.Sprintf("seat-%d", i), DataCentre: []string{"klm", "tvm"}[i%2], Slots: 4, Connections: 110,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80),
		})
	}
	s.Homes = configuration.DefaultHomes(s.Shards, s.Upstreams)
	value, err := configuration.EncodeService(s)
	if err != nil {
		panic(err)
	}
	return control.Object{Name: "services/seat-desk", Version: version, Value: value}
}

func leavingObject(vm string, version int64) control.Object {
	value, err := configuration.EncodeLeaving(configuration.Leaving{VM: vm, Author: "mika", Since: start})
	if err != nil {
		panic(err)
	}
	return control.Object{Name: configuration.LeavingObject(vm), Version: version, Value: value}
}

// Guards against an old watch event or a paused peer that brings back an earlier version or a deleted object.
func TestVersionsNeverGoBack(t *testing.T) {
	d := newDirectory("tvm-1", 1)
	must.True(t, d.PutObject(start, leavingObject("vm-1", 5)))
	must.False(t, d.PutObject(start, leavingObject("vm-1", 5)))
	must.True(t, d.PutObject(start, control.Object{Name: "leaving/vm-1", Version: 8, Deleted: true}))
	paused := newDirectory("tvm-2", 1)
	paused.PutObject(start, leavingObject("vm-1", 7))
	exchange(start, d, paused)
	for _, each := range []*directory.Directory{d, paused} {
		_, marked := each.Leaving("vm-1")
		must.False(t, marked)
		must.Eq(t, 8, each.Versions()["leaving/vm-1"])
	}
	table := control.Table{Pair: control.Pair{Service: "a", DataCentre: "tvm"}, Term: 2, Sequence: 1}
	must.True(t, d.PutTable(start, table))
	table.Term, table.Sequence = 1, 9
	must.False(t, d.PutTable(start, table))
}

// Guards against an invalid object that replaces the version in force, an object that is accepted although it holds a
// service of another name, and objects that do not belong in the directory.
func TestInvalidObject(t *testing.T) {
	d := newDirectory("tvm-1", 1)
	must.True(t, d.PutObject(start, serviceObject(3, 2)))
	must.True(t, d.PutObject(start, control.Object{Name: "services/seat-desk", Version: 4, Value: []byte(`{"name":"seat-desk"}`)}))
	must.Eq(t, 3, d.Versions()["services/seat-desk"])
	must.ErrorContains(t, d.InvalidObjects()["services/seat-desk"], "services/seat-desk version 4")
	s, ok := d.Service("seat-desk")
	must.True(t, ok)
	must.Len(t, 2, s.Upstreams)
	other := serviceObject(5, 2)
	other.Name = "services/log-store"
	d.PutObject(start, other)
	must.ErrorContains(t, d.InvalidObjects()["services/log-store"], `holds service "seat-desk"`)
	d.PutObject(start, serviceObject(6, 3))
	must.MapNotContainsKey(t, d.InvalidObjects(), "services/seat-desk")
	must.False(t, d.PutObject(start, control.Object{Name: "status/tvm-1", Version: 9}))
}

// Guards against requests that are routed by the table of a data centre that is not the shard's home, and against
// shards without a route because their upstream was removed from the service before they were moved.
func TestRoute(t *testing.T) {
	d := newDirectory("tvm-1", 1)
	table := func(centre, upstream string, shards ...shard.Shard) control.Table {
		return control.Table{Pair: control.Pair{Service: "seat-desk", DataCentre: centre}, Term: 1, Sequence: 1, Placements: []control.Placement{
			{Upstream: upstream, Leaseholder: member(centre+"-1", 1), Fence: fence.New(1, 1), Shards: shards},
		}}
	}
	d.PutTable(start, table("klm", "seat-0", 0, 1, 9, 99))
	_, _, ok := d.Route("seat-desk", 0)
	must.False(t, ok)
	d.PutObject(start, serviceObject(3, 2))
	d.PutTable(start, table("tvm", "gone", 8, 9))
	placement, upstream, ok := d.Route("seat-desk", 1)
	must.True(t, ok)
	must.Eq(t, "klm-1", placement.Leaseholder.Name)
	must.Eq(t, 4, upstream.Slots)
	placement, upstream, ok = d.Route("seat-desk", 9)
	must.True(t, ok)
	must.Eq(t, "tvm-1", placement.Leaseholder.Name)
	must.Eq(t, "gone", upstream.Name)
	for _, n := range []shard.Shard{2, 10, 16, 99} {
		_, _, ok = d.Route("seat-desk", n)
		must.False(t, ok)
	}
	d.PutObject(start, control.Object{Name: "services/seat-desk", Version: 4, Deleted: true})
	_, _, ok = d.Route("seat-desk", 1)
	must.False(t, ok)
}

// Guards against a switch of the preset of which subscribers are not notified, and against a preset that is no longer
// in force after its object was deleted.
func TestPresetSwitch(t *testing.T) {
	d := newDirectory("tvm-1", 1)
	changed, cancel := d.Subscribe()
	defer cancel()
	must.Eq(t, "ordinary", d.Preset().Name)
	p := configuration.DefaultPresets()
	p.Active = "peak"
	value, err := configuration.EncodePresets(p)
	must.NoError(t, err)
	before := d.ChangeCount()
	d.PutObject(start, control.Object{Name: "preset", Version: 2, Value: value})
	must.Eq(t, "peak", d.Preset().Name)
	must.Greater(t, before, d.ChangeCount())
	must.Eq(t, 1, len(changed))
	d.PutObject(start, control.Object{Name: "preset", Version: 3, Deleted: true})
	must.Eq(t, "peak", d.Preset().Name)
}

// Guards against equal directories that exchange more than a hash, and against differences that are never found because
// both sides received the versions too long ago to list them as recent.
func TestExchange(t *testing.T) {
	a, b := newDirectory("tvm-1", 1), newDirectory("tvm-2", 1)
	for i := range 500 {
		a.PutObject(start, leavingObject(fmt.Sprintf("vm-%d", i), int64(i+1)))
	}
	b.PutObject(start, leavingObject("vm-7", 1000))
	b.PutSuspect(start, control.Suspect{Name: "f", Version: 1, Value: []byte{1}, Expires: start.Add(time.Hour)})
	later := start.Add(time.Minute)
	must.LessEq(t, directory.MaxExchangeRounds, exchange(later, a, b))
	must.Eq(t, a.Versions(), b.Versions())
	must.MapLen(t, 500, b.Versions())
	must.Eq(t, 1000, a.Versions()["leaving/vm-7"])
	must.Len(t, 1, a.Suspects(later))
	later = later.Add(time.Minute)
	must.Eq(t, 1, exchange(later, a, b))
	must.Eq(t, control.Sync{Hash: a.Digest(later).Hash}, b.Offer(later, a.Digest(later)))
	b.PutObject(later, leavingObject("vm-8", 1001))
	must.LessEq(t, 2, exchange(later, a, b))
	must.Eq(t, 1001, a.Versions()["leaving/vm-8"])
}

// Guards against large objects that are sent uncompressed, that arrive changed or that a damaged value replaces, and
// against members that never agree because one of them doesn't know a kind of object.
func TestCompressedObjects(t *testing.T) {
	a, b := newDirectory("tvm-1", 1), newDirectory("tvm-2", 1)
	large := serviceObject(1, 420)
	a.PutObject(start, large)
	b.Merge(start, control.Sync{Objects: []control.Object{
		{Name: "services/seat-desk", Version: 9, Value: []byte{0, 1, 2, 3}},
		{Name: "quotas/seat-desk", Version: 2, Value: []byte("{}")},
	}})
	response := a.Offer(start, control.Sync{ListedBuckets: allBucketIndexes()})
	must.Len(t, 1, response.Objects)
	must.Less(t, len(large.Value)/6, len(response.Objects[0].Value))
	exchange(start, a, b)
	exchange(start, b, a)
	service, ok := b.Service("seat-desk")
	must.True(t, ok)
	must.Len(t, 420, service.Upstreams)
	must.Eq(t, a.Digest(start).Hash, b.Digest(start).Hash)
}

func allBucketIndexes() []uint16 {
	var all []uint16
	for b := range uint16(64) {
		all = append(all, b)
	}
	return all
}

// Guards against suspect entries of the same version that stay different between processes, and against entries that
// stay after they have expired or that a paused process brings back.
func TestSuspects(t *testing.T) {
	a, b := newDirectory("tvm-1", 1), newDirectory("tvm-2", 1)
	entry := control.Suspect{Name: "f", Version: 1, Value: []byte("a"), Expires: start.Add(time.Minute)}
	a.PutSuspect(start, entry)
	entry.Value = []byte("b")
	b.PutSuspect(start, entry)
	exchange(start, a, b)
	must.Eq(t, a.Suspects(start), b.Suspects(start))
	late := start.Add(time.Minute)
	a.Digest(late)
	must.Len(t, 0, a.Suspects(late))
	must.False(t, a.PutSuspect(late, entry))
}

// Guards against a lost member that is never reported as silent, a member that stays silent although it was only slow
// or was restarted, and a member that reports others although it is cut off itself.
func TestSilentMember(t *testing.T) {
	a, b := newDirectory("tvm-1", 1), newDirectory("tvm-2", 1)
	exchange(start, a, b)
	must.Len(t, 2, a.Live("tvm"))
	a.ExchangeFailed(start, member("tvm-2", 1))
	partner, ok := a.PickPartner(true)
	must.True(t, ok)
	must.Eq(t, "tvm-2", partner.Name)
	a.ExchangeFailed(start, partner)
	must.Len(t, 2, a.Live("tvm"), must.Sprint("a member that reaches nobody reports others"))
	a.ExchangeSucceeded(start, member("tvm-3", 1))
	a.ExchangeFailed(start, partner)
	a.ExchangeFailed(start, partner)
	must.Len(t, 1, a.Live("tvm"))
	must.Len(t, 2, a.Members(start))
	must.Len(t, 1, a.Members(start.Add(30*time.Second)))
	exchange(start, a, b)
	must.Len(t, 2, a.Live("tvm"))
	must.Len(t, 2, b.Live("tvm"))

	a.ExchangeFailed(start, partner)
	a.ExchangeFailed(start, partner)
	b = newDirectory("tvm-2", 2)
	exchange(start, b, a)
	must.Len(t, 2, a.Live("tvm"), must.Sprint("a restarted member"))
	b.Announce(start, true)
	exchange(start, b, a)
	must.Eq(t, []control.Member{member("tvm-1", 1)}, a.Live("tvm"))
	a.PutObject(start, leavingObject("tvm-1", 1))
	must.Len(t, 0, a.Live("tvm"))
	must.True(t, a.WatchesPlatform())
}

// Guards against a data centre in which no member or every member watches the platform.
func TestWatchersPerCentre(t *testing.T) {
	var all []*directory.Directory
	for i := range 10 {
		all = append(all, newDirectory(fmt.Sprintf("tvm-%d", i), 1))
		exchange(start, all[i], all[0])
	}
	count := 0
	for _, d := range all {
		exchange(start, d, all[0])
		if d.WatchesPlatform() {
			count++
		}
	}
	must.Eq(t, 2, count)
}

// BenchmarkRoute measures the route lookup of one request, from many goroutines at once.
func BenchmarkRoute(b *testing.B) {
	d := newDirectory("tvm-1", 1)
	d.PutObject(start, serviceObject(3, 20))
	d.PutTable(start, control.Table{Pair: control.Pair{Service: "seat-desk", DataCentre: "klm"}, Term: 1, Sequence: 1, Placements: []control.Placement{
		{Upstream: "seat-0", Leaseholder: member("klm-1", 1), Shards: []shard.Shard{0, 1, 2, 3, 4, 5, 6, 7}},
	}})
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for i := shard.Shard(0); p.Next(); i++ {
			if _, _, ok := d.Route("seat-desk", i%8); !ok {
				b.Error("no route")
			}
		}
	})
}
