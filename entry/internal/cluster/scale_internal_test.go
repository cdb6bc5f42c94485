package cluster

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"

	"bramleystand.org/common/keyspace"
	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/election"
	"bramleystand.org/entry/internal/ownership"
	"bramleystand.org/entry/internal/replica"
	"bramleystand.org/entry/internal/report"
	"bramleystand.org/entry/internal/rpc"
	"bramleystand.org/entry/internal/view"
	"bramleystand.org/platform"
)

// largeServerCount is the number of servers in the largest deployment of the users.
const largeServerCount = 405

func newLargeNode() *Node {
	v := view.New()
	logger := &log.Logger{Handler: discard.New()}
	n := &Node{view: v, replica: replica.New(v, logger), logger: logger, received: make(map[string]*ownership.Table)}
	n.replica.Sink(platform.KindServers).Reset(time.Now(), largeServerList())
	return n
}

func largeServerList() []platform.Object {
	var list []platform.Object
	for i := range largeServerCount {
		list = append(list, serverEntry(i, 1))
	}
	return list
}

func serverEntry(i int, revision uint64) platform.Object {
	return platform.Object{Name: fmt.Sprint("s", i), Revision: revision, Data: fmt.Appendf(nil,
		`{"service":"svc","address":"10.0.%d.%d:80","zone":"z","version":"v1","maxConcurrency":4,"state":"ready","warmupLeftMs":0,"seq":1,"born":5}`, i/200, i%200)}
}

func largeTable(revision uint64) *ownership.Table {
	t := &ownership.Table{Service: "s", Revision: revision}
	width := keyspace.KeyCount / largeServerCount
	for i := range largeServerCount {
		last := keyspace.Key((i+1)*width - 1)
		if i == largeServerCount-1 {
			last = keyspace.Last
		}
		t.Assignments = append(t.Assignments, ownership.Assignment{
			Range:   keyspace.Range{First: keyspace.Key(i * width), Last: last},
			Holders: []ownership.Server{{Instance: registry.Instance{ID: fmt.Sprint("i-0123456789", i), Incarnation: 1_780_000_000_000}, Address: "10.1.64.38:8460"}},
		})
	}
	return t
}

// BenchmarkTableChange measures the work of a process for one move of a range.
func BenchmarkTableChange(b *testing.B) {
	n := newLargeNode()
	first := largeTable(1)
	whole, err := n.encoded.encodeTable(nil, first)
	must.NoError(b, err)
	must.NoError(b, n.applyTable(whole))
	revision := uint64(1)
	next := largeTable(2)
	next.Assignments[7].Unconfirmed = true
	data, err := ownership.Diff(first, next)
	must.NoError(b, err)
	for b.Loop() {
		revision++
		must.NoError(b, n.applyTable(report.Object{Kind: replica.KindTables, Name: "s", Revision: revision, BaseRevision: revision - 1, Data: data}))
	}
}

// BenchmarkServerChange measures the work of a process for one change of a server's entry.
func BenchmarkServerChange(b *testing.B) {
	n := newLargeNode()
	revision := uint64(1)
	for b.Loop() {
		revision++
		o := serverEntry(int(revision)%largeServerCount, revision)
		n.replica.ApplyChanges(time.Now(), []report.Object{{Kind: platform.KindServers, Name: o.Name, Revision: o.Revision, Data: o.Data}})
	}
}

// BenchmarkReportResponse measures the work of a process for the members in one response to a report.
func BenchmarkReportResponse(b *testing.B) {
	w := struct {
		_       struct{} `cbor:",toarray"`
		Members []election.Member
	}{}
	for i := range 78 {
		w.Members = append(w.Members, election.Member{Name: fmt.Sprint("edge-tvm-", i), Incarnation: time.Now().UnixNano(), DataCentre: "tvm", Address: netip.MustParseAddrPort("10.1.0.33:8464")})
	}
	data, err := rpc.Encoding{}.Marshal(&w)
	must.NoError(b, err)
	for b.Loop() {
		must.NoError(b, rpc.Encoding{}.Unmarshal(data, &w))
	}
}
