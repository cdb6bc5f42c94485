package replica_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/platform"
)

// Guards against an evacuation that is not noticed because its object can't be read, or that does not end
// with the object.
func TestUnreadableEvacuation(t *testing.T) {
	v, r := newReplica()
	r.SetEvacuationGrace(time.Second)
	r.Sink(platform.KindServers).Reset(startTime, []platform.Object{serverEntry("a", 1, "ready")})
	sink := r.Sink(platform.KindEvacuations)
	sink.Apply(startTime, []platform.Event{{Object: platform.Object{Name: "z", Revision: 2, Data: []byte(`{"x`)}}})
	must.Len(t, 0, serverIDs(v))
	must.Eq(t, []string{"z"}, v.Evacuated())
	sink.Apply(startTime, []platform.Event{{Object: platform.Object{Name: "z", Revision: 3}, Deleted: true}})
	must.Eq(t, []string{"a"}, serverIDs(v))
}

// Guards against a server that becomes cold again and gets as many requests as a warm one, and against a warm-up that
// each entry prolongs.
func TestServerBecomesColdAgain(t *testing.T) {
	v, r := newReplica()
	entry := func(revision uint64, left string) platform.Object {
		o := serverEntry("a", revision, "ready")
		o.Data = []byte(`{"service":"svc","address":"10.0.0.1:80","zone":"z","version":"v1","maxConcurrency":4,"state":"ready","warmupLeftMs":` + left + `,"seq":` + string('0'+rune(revision)) + `,"born":5}`)
		return o
	}
	sink := r.Sink(platform.KindServers)
	warmAt := func() time.Time { return v.Servers().Service("svc")[0].WarmAt }
	sink.Reset(startTime, []platform.Object{entry(1, "2000")})
	sink.Apply(startTime.Add(900*time.Millisecond), []platform.Event{{Object: entry(2, "2000")}})
	must.Eq(t, startTime.Add(2*time.Second), warmAt())
	now := startTime.Add(10 * time.Second)
	sink.Apply(now, []platform.Event{{Object: entry(3, "3000")}})
	must.Eq(t, now.Add(3*time.Second), warmAt())
}
