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

var startTime = time.Unix(1000, 0)

func newReplica() (*view.View, *replica.Replica) {
	v := view.New()
	return v, replica.New(v, &log.Logger{Handler: discard.New()})
}

// serverEntry returns the entry of a server in the store. Its sequence rises with the revision.
func serverEntry(name string, revision uint64, state string) platform.Object {
	return platform.Object{Name: name, Revision: revision, Data: fmt.Appendf(nil,
		`{"service":"svc","address":"10.0.0.1:80","zone":"z","version":"v1","maxConcurrency":4,"state":%q,"warmupLeftMs":0,"seq":%d,"born":5}`, state, revision)}
}

func serverIDs(v *view.View) []string {
	var out []string
	for _, s := range v.Servers().Service("svc") {
		out = append(out, s.ID)
	}
	return out
}

// Guards against an invalid entry that counts as a server or makes the other servers disappear.
func TestInvalidServerEntries(t *testing.T) {
	v, r := newReplica()
	list := []platform.Object{serverEntry("a", 1, "ready"), serverEntry("b", 2, "ready")}
	for i, data := range []string{
		`null`, `[]`, `"x"`, `{}`, `{"service":3}`, `{"service":"svc","address":"nowhere","zone":"z","version":"v1","maxConcurrency":4,"state":"ready","warmupLeftMs":0,"seq":1}`,
		`{"service":"svc","address":"10.0.0.1:80","zone":"z","version":"v1","maxConcurrency":4,"state":"asleep","warmupLeftMs":0,"seq":1}`,
		`{"service":"svc","address":"10.0.0.1:80","zone":"z","version":"v1","maxConcurrency":4,"state":"ready","warmupLeftMs":0,"seq":1,"born":1.5}`,
	} {
		list = append(list, platform.Object{Name: fmt.Sprint("invalid", i), Revision: 3, Data: []byte(data)})
	}
	r.Sink(platform.KindServers).Reset(startTime, list)
	must.Eq(t, []string{"a", "b"}, serverIDs(v))
	// A server whose entry becomes invalid is removed.
	r.Sink(platform.KindServers).Apply(startTime, []platform.Event{{Object: platform.Object{Name: "a", Revision: 9, Data: []byte(`7`)}}})
	must.Eq(t, []string{"b"}, serverIDs(v))
}

// Guards against servers that are removed because their entries expired during an outage of the store,
// and against removed servers that are kept forever.
func TestMissingAfterOutage(t *testing.T) {
	v, r := newReplica()
	sink := r.Sink(platform.KindServers)
	sink.Reset(startTime, []platform.Object{serverEntry("a", 1, "ready"), serverEntry("b", 2, "ready")})
	sink.RecordOutage(startTime)
	now := startTime.Add(100 * time.Millisecond)
	sink.Reset(now, []platform.Object{serverEntry("a", 1, "ready")})
	must.Eq(t, []string{"a", "b"}, serverIDs(v))
	r.RemoveMissingServers(now.Add(time.Second))
	must.Eq(t, []string{"a", "b"}, serverIDs(v))
	r.RemoveMissingServers(now.Add(2200 * time.Millisecond))
	must.Eq(t, []string{"a"}, serverIDs(v))
	// Without a recent outage a server is removed as soon as its entry is.
	now = now.Add(10 * time.Second)
	sink.Apply(now, []platform.Event{{Object: platform.Object{Name: "a"}, Deleted: true}})
	must.SliceEmpty(t, serverIDs(v))
}

// Guards against a draining server that is given new work, and one that no longer gets the requests for
// its keys before they have moved.
func TestDrainingServer(t *testing.T) {
	v, r := newReplica()
	sink := r.Sink(platform.KindServers)
	sink.Reset(startTime, []platform.Object{serverEntry("a", 1, "ready")})
	instance := v.Servers().Service("svc")[0].Instance
	sink.Apply(startTime, []platform.Event{{Object: serverEntry("a", 2, "draining")}})
	must.SliceEmpty(t, serverIDs(v))
	_, ok := v.Servers().Find(startTime.Add(time.Second), instance)
	must.True(t, ok)
	_, ok = v.Servers().Find(startTime.Add(1900*time.Millisecond), instance)
	must.False(t, ok)
}

const configurationFormat = `{"version":%d,"routes":{"r":{"host":"h.example","pathPrefix":"/a/","routeType":"idempotent","timeoutMs":1000,"sloMs":100,"priority":0,"service":"svc","attempts":2}},
"services":{"svc":{"healthPath":"/h","maxConns":10}},"limits":{"maxHeaderBytes":100,"maxBodyBytes":100,"headerTimeoutMs":10,"idleTimeoutMs":10}}`

// Guards against a valid configuration that is replaced by an older or an invalid one.
func TestConfigurationNeverGoesBack(t *testing.T) {
	v, r := newReplica()
	sink := r.Sink(platform.KindConfiguration)
	put := func(data string) {
		sink.Reset(startTime, []platform.Object{{Name: platform.NameConfiguration, Revision: 1, Data: []byte(data)}})
	}
	put(fmt.Sprintf(configurationFormat, 5))
	must.Eq(t, 5, v.Configuration().Version)
	put(fmt.Sprintf(configurationFormat, 4))
	must.Eq(t, 5, v.Configuration().Version)
	put(`{"version":9,"routes":{"r":{"host":"h","pathPrefix":"/a","routeType":"idempotent"}}}`)
	must.Eq(t, 5, v.Configuration().Version)
	put(fmt.Sprintf(configurationFormat, 7))
	must.Eq(t, 7, v.Configuration().Version)
}

// Guards against a process that starts during an outage of the store and gets no objects from its
// peers, and against objects of a peer that replace those that the process has read from the store
// itself.
func TestLoadSnapshot(t *testing.T) {
	_, r := newReplica()
	r.Sink(platform.KindConfiguration).Reset(startTime, []platform.Object{{Name: platform.NameConfiguration, Revision: 1, Data: fmt.Appendf(nil, configurationFormat, 5)}})
	r.Sink(platform.KindServers).Reset(startTime, []platform.Object{serverEntry("a", 1, "ready")})
	v, fresh := newReplica()
	fresh.LoadSnapshot(startTime, r.AllObjects())
	must.Eq(t, 5, v.Configuration().Version)
	must.Eq(t, []string{"a"}, serverIDs(v))
	fresh.Sink(platform.KindServers).Reset(startTime, []platform.Object{serverEntry("b", 3, "ready")})
	fresh.LoadSnapshot(startTime, r.AllObjects())
	must.Eq(t, []string{"b"}, serverIDs(v))
}

// Guards against a copy that counts as up to date although it lacks a deletion, which has no
// revision of its own.
func TestCopyVersionShowsDeletion(t *testing.T) {
	_, outdated := newReplica()
	_, updated := newReplica()
	outdated.Sink(platform.KindServers).Reset(startTime, []platform.Object{serverEntry("a", 1, "ready"), serverEntry("b", 2, "ready")})
	updated.Sink(platform.KindServers).Reset(startTime, []platform.Object{serverEntry("b", 2, "ready")})
	must.True(t, outdated.CopyVersion(platform.KindServers).Behind(updated.CopyVersion(platform.KindServers)))
	must.False(t, updated.CopyVersion(platform.KindServers).Behind(outdated.CopyVersion(platform.KindServers)))
}

// Guards against a process that starts during an outage and takes a server that has left from the copy of a
// process that has not noticed it, in whatever order they answer.
func TestLoadSnapshotOfOutdatedProcess(t *testing.T) {
	_, outdated := newReplica()
	outdated.Sink(platform.KindServers).Reset(startTime, []platform.Object{serverEntry("a", 1, "ready"), serverEntry("b", 2, "ready")})
	_, deleted := newReplica()
	deleted.Sink(platform.KindServers).Reset(startTime, []platform.Object{serverEntry("b", 2, "ready")})
	_, updated := newReplica()
	updated.Sink(platform.KindServers).Reset(startTime, []platform.Object{serverEntry("b", 5, "ready")})
	for _, order := range [][]*replica.Replica{{outdated, deleted}, {deleted, outdated}, {outdated, updated}, {updated, outdated}} {
		v, fresh := newReplica()
		for _, r := range order {
			fresh.LoadSnapshot(startTime, r.AllObjects())
		}
		must.Eq(t, []string{"b"}, serverIDs(v))
	}
}
