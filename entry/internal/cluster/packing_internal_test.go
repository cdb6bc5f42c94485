package cluster

import (
	"bytes"
	"testing"

	"github.com/shoenig/test/must"

	"bramleystand.org/entry/internal/report"
)

// Guards against an object that reaches other processes damaged, and against a small message that
// takes all memory when it is decompressed.
func TestPacking(t *testing.T) {
	d := &encodedUpdates{}
	for _, size := range []int{0, 10, smallestPacked, 300_000} {
		o := report.Object{Kind: "k", Name: "n", Revision: uint64(size), Data: bytes.Repeat([]byte("route "), size/6)}
		p, err := d.pack(o)
		must.NoError(t, err)
		must.LessEq(t, max(smallestPacked, size/20), len(p.Data))
		got, err := unpack(p)
		must.NoError(t, err)
		must.Eq(t, o, got)
	}
	bomb, err := d.pack(report.Object{Revision: 9, Data: make([]byte, largestObject+1)})
	must.NoError(t, err)
	_, err = unpack(bomb)
	must.Error(t, err)
	_, err = unpack(report.Object{Packed: true, Data: []byte("no compressed data")})
	must.Error(t, err)
}
