package cluster

import (
	"bytes"
	"testing"

	"github.com/shoenig/test/must"

	"bramleystand.org/entry/internal/report"
)

// Guards against an object that other processes decompress to something else, and against a small
// message that uses up the memory when it is decompressed.
func TestCompression(t *testing.T) {
	d := &encodedUpdates{}
	for _, size := range []int{0, 10, minCompressSize, 300_000} {
		o := report.Object{Kind: "k", Name: "n", Revision: uint64(size), Data: bytes.Repeat([]byte("route "), size/6)}
		p, err := d.compress(o)
		must.NoError(t, err)
		must.LessEq(t, max(minCompressSize, size/20), len(p.Data))
		got, err := decompress(p)
		must.NoError(t, err)
		must.Eq(t, o, got)
	}
	oversized, err := d.compress(report.Object{Revision: 9, Data: make([]byte, maxObjectSize+1)})
	must.NoError(t, err)
	_, err = decompress(oversized)
	must.Error(t, err)
	_, err = decompress(report.Object{Compressed: true, Data: []byte("no compressed data")})
	must.Error(t, err)
}
