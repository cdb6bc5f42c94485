package ownership_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"bramleystand.org/common/keyspace"
	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/ownership"
)

func server(i int) ownership.Server {
	return ownership.Server{Instance: registry.Instance{ID: fmt.Sprint("s", i), Incarnation: int64(i)}, Address: fmt.Sprintf("10.0.0.%d:80", i)}
}

// drawTable returns a random table with up to ten ranges. It has few servers, so that two tables
// often have equal assignments.
func drawTable(t *rapid.T, revision uint64) *ownership.Table {
	out := &ownership.Table{Service: "s", Revision: revision, Term: revision / 2, Generation: revision * 3, Era: revision / 3}
	first := 0
	for first < keyspace.KeyCount {
		last := keyspace.KeyCount - 1
		if len(out.Assignments) < 9 {
			last = rapid.SampledFrom([]int{first, 9, 10, 99, 100, 30_000, keyspace.KeyCount - 1}).Draw(t, "last")
		}
		last = max(first, last)
		a := ownership.Assignment{Range: keyspace.Range{First: keyspace.Key(first), Last: keyspace.Key(last)}, Unconfirmed: rapid.Bool().Draw(t, "unconfirmed")}
		for i := range rapid.IntRange(0, 2).Draw(t, "holders") {
			a.Holders = append(a.Holders, server(i+rapid.IntRange(0, 2).Draw(t, "holder")))
		}
		if rapid.Bool().Draw(t, "moving") {
			s := server(rapid.IntRange(0, 2).Draw(t, "target"))
			a.Target = &s
		}
		out.Assignments = append(out.Assignments, a)
		first = last + 1
	}
	return out
}

// Guards against a process that routes by another table than the one in the store, because a
// difference was computed or applied wrongly.
func TestDiffApply(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		earlier, later := drawTable(t, 4), drawTable(t, 7)
		if rapid.Bool().Draw(t, "alike") {
			later.Assignments = append([]ownership.Assignment(nil), earlier.Assignments...)
			i := rapid.IntRange(0, len(later.Assignments)-1).Draw(t, "changed")
			later.Assignments[i].Unconfirmed = !later.Assignments[i].Unconfirmed
		}
		data, err := ownership.Diff(earlier, later)
		must.NoError(t, err)
		got, err := ownership.Apply(earlier, 7, data)
		must.NoError(t, err)
		must.Eq(t, later, got)
		whole, err := ownership.Encode(later)
		must.NoError(t, err)
		got, err = ownership.Decode("s", 7, whole)
		must.NoError(t, err)
		must.Eq(t, later, got)
	})
}

// Guards against a table with gaps or overlaps, in which a key would have no owner or two.
func TestInvalidTablesRejected(t *testing.T) {
	whole := &ownership.Table{Service: "s", Assignments: []ownership.Assignment{{Range: keyspace.Range{Last: keyspace.Last}}}}
	for _, text := range []string{
		``, `[]`, `{"ranges":[]}`,
		`{"ranges":[{"a":0,"z":10},{"a":12,"z":65535}]}`, `{"ranges":[{"a":0,"z":10},{"a":5,"z":65535}]}`,
		`{"ranges":[{"a":10,"z":0}]}`, `{"ranges":[{"a":0,"z":65535,"h":[0]}]}`, `{"ranges":[{"a":0,"z":65536}]}`,
	} {
		_, err := ownership.Decode("s", 1, []byte(text))
		must.Error(t, err, must.Sprint(text))
	}
	for _, text := range []string{``, `{"ranges":[{"a":5,"z":10}]}`, `{"ranges":[{"a":0,"z":10},{"a":5,"z":65535}]}`, `{"ranges":[{"a":0,"z":65535,"t":3}]}`} {
		_, err := ownership.Apply(whole, 2, []byte(text))
		must.Error(t, err, must.Sprint(text))
	}
}

// Guards against sending the whole table to every process when one range changes.
func TestDiffSize(t *testing.T) {
	earlier := &ownership.Table{Service: "s"}
	const ranges = 512
	for i := range ranges {
		width := keyspace.KeyCount / ranges
		earlier.Assignments = append(earlier.Assignments, ownership.Assignment{
			Range: keyspace.Range{First: keyspace.Key(i * width), Last: keyspace.Key((i+1)*width - 1)}, Holders: []ownership.Server{server(i)},
		})
	}
	later := &ownership.Table{Service: "s", Assignments: append([]ownership.Assignment(nil), earlier.Assignments...)}
	target := server(7)
	later.Assignments[100].Target = &target
	data, err := ownership.Diff(earlier, later)
	must.NoError(t, err)
	must.Less(t, 300, len(data))
}
