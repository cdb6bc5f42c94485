package replica_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"

	"bramleystand.org/entry/internal/replica"
	"bramleystand.org/entry/internal/view"
	"bramleystand.org/platform"
)

var start = time.Unix(1000, 0)

func newReplica() (*view.View, *replica.Replica) {
	v := view.New()
	return v, replica.New(v, &log.Logger{Handler: discard.New()})
}

// entry is the entry of a server.
func entry(name string, revision uint64, state string) platform.Object {
	return platform.Object{Name: name, Revision: revision, Data: fmt.Appendf(nil,
		`{"service":"svc","address":"10.0.0.1:80","zone":"z","maxConcurrency":4,"state":%q,"warmupLeftMs":0,"seq":1,"born":5}`, state)}
}

func names(v *view.View) []string {
	var out []string
	for _, s := range v.Servers().Service("svc") {
		out = append(out, s.ID)
	}
	return out
}

// Guards against an entry that can't be read taking other servers with it, or naming one.
func TestOddEntries(t *testing.T) {
	v, r := newReplica()
	list := []platform.Object{entry("a", 1, "ready"), entry("b", 2, "ready")}
	for i, data := range []string{
		`null`, `[]`, `"x"`, `{}`, `{"service":3}`, `{"service":"svc","address":"nowhere","zone":"z","maxConcurrency":4,"state":"ready","warmupLeftMs":0,"seq":1}`,
		`{"service":"svc","address":"10.0.0.1:80","zone":"z","maxConcurrency":4,"state":"asleep","warmupLeftMs":0,"seq":1}`,
		`{"service":"svc","address":"10.0.0.1:80","zone":"z","maxConcurrency":4,"state":"ready","warmupLeftMs":0,"seq":1,"born":1.5}`,
	} {
		list = append(list, platform.Object{Name: fmt.Sprint("odd", i), Revision: 3, Data: []byte(data)})
	}
	r.Sink(platform.KindServers).Reset(start, list)
	must.Eq(t, []string{"a", "b"}, names(v))
	// A good entry that becomes unreadable names no server any more.
	r.Sink(platform.KindServers).Apply(start, []platform.Event{{Object: platform.Object{Name: "a", Revision: 9, Data: []byte(`7`)}}})
	must.Eq(t, []string{"b"}, names(v))
}

// Guards against servers that are given up because their entries lapsed while the store was
// down, and against ones that are kept for good.
func TestMissingAfterOutage(t *testing.T) {
	v, r := newReplica()
	sink := r.Sink(platform.KindServers)
	sink.Reset(start, []platform.Object{entry("a", 1, "ready"), entry("b", 2, "ready")})
	sink.Lost(start)
	now := start.Add(100 * time.Millisecond)
	sink.Reset(now, []platform.Object{entry("a", 1, "ready")})
	must.Eq(t, []string{"a", "b"}, names(v))
	r.Tick(now.Add(time.Second))
	must.Eq(t, []string{"a", "b"}, names(v))
	r.Tick(now.Add(2200 * time.Millisecond))
	must.Eq(t, []string{"a"}, names(v))
	// Without an outage an entry that is removed is gone at once.
	now = now.Add(10 * time.Second)
	sink.Apply(now, []platform.Event{{Object: platform.Object{Name: "a"}, Deleted: true}})
	must.SliceEmpty(t, names(v))
}

// Guards against new work for a server that leaves, and against its keys being cut off at once.
func TestLeavingServer(t *testing.T) {
	v, r := newReplica()
	sink := r.Sink(platform.KindServers)
	sink.Reset(start, []platform.Object{entry("a", 1, "ready")})
	life := v.Servers().Service("svc")[0].Life
	sink.Apply(start, []platform.Event{{Object: entry("a", 2, "draining")}})
	must.SliceEmpty(t, names(v))
	_, ok := v.Servers().Find(start.Add(time.Second), life)
	must.True(t, ok)
	_, ok = v.Servers().Find(start.Add(1900*time.Millisecond), life)
	must.False(t, ok)
}

const configuration = `{"version":%d,"routes":{"r":{"host":"h.example","pathPrefix":"/a/","routeType":"idempotent","timeoutMs":1000,"sloMs":100,"priority":0,"service":"svc","attempts":2}},
"services":{"svc":{"healthPath":"/h","maxConns":10}},"limits":{"maxHeaderBytes":100,"maxBodyBytes":100,"headerTimeoutMs":10,"idleTimeoutMs":10}}`

// Guards against a configuration that goes back or that replaces a good one though it is invalid.
func TestConfigurationForward(t *testing.T) {
	v, r := newReplica()
	sink := r.Sink(platform.KindConfiguration)
	put := func(data string) {
		sink.Reset(start, []platform.Object{{Name: platform.NameConfiguration, Revision: 1, Data: []byte(data)}})
	}
	put(fmt.Sprintf(configuration, 5))
	must.Eq(t, 5, v.Configuration().Version)
	put(fmt.Sprintf(configuration, 4))
	must.Eq(t, 5, v.Configuration().Version)
	put(`{"version":9,"routes":{"r":{"host":"h","pathPrefix":"/a","routeType":"idempotent"}}}`)
	must.Eq(t, 5, v.Configuration().Version)
	put(fmt.Sprintf(configuration, 7))
	must.Eq(t, 7, v.Configuration().Version)
}

// Guards against a process that starts in an outage and learns nothing from its peers, and
// against one that lets a peer's older copy replace what it has read itself.
func TestAdopt(t *testing.T) {
	_, r := newReplica()
	r.Sink(platform.KindConfiguration).Reset(start, []platform.Object{{Name: platform.NameConfiguration, Revision: 1, Data: fmt.Appendf(nil, configuration, 5)}})
	r.Sink(platform.KindServers).Reset(start, []platform.Object{entry("a", 1, "ready")})
	v, fresh := newReplica()
	fresh.LoadSnapshot(start, r.Objects())
	must.Eq(t, 5, v.Configuration().Version)
	must.Eq(t, []string{"a"}, names(v))
	fresh.Sink(platform.KindServers).Reset(start, []platform.Object{entry("b", 3, "ready")})
	fresh.LoadSnapshot(start, r.Objects())
	must.Eq(t, []string{"b"}, names(v))
}

// Guards against marks that do not show a removed object, which has no revision of its own.
func TestMark(t *testing.T) {
	_, whole := newReplica()
	_, short := newReplica()
	whole.Sink(platform.KindServers).Reset(start, []platform.Object{entry("a", 1, "ready"), entry("b", 2, "ready")})
	short.Sink(platform.KindServers).Reset(start, []platform.Object{entry("b", 2, "ready")})
	must.True(t, whole.Mark(platform.KindServers).Behind(short.Mark(platform.KindServers)))
	must.False(t, short.Mark(platform.KindServers).Behind(whole.Mark(platform.KindServers)))
}
