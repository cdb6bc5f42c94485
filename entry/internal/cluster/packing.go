package cluster

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"bramleystand.org/entry/internal/report"
)

const (
	// smallestPacked is the size in bytes from which an object is compressed.
	smallestPacked = 1 << 10
	// largestObject bounds the memory for an object that another process sends; the store takes 1 MB.
	largestObject = 4 << 20
	// mostPacked bounds the compressed objects that are kept.
	mostPacked = 8
)

// pack returns an object as it is sent; large ones are compressed once for all followers.
func (d *encodedUpdates) pack(o report.Object) (report.Object, error) {
	if len(o.Data) < smallestPacked || o.Deleted {
		return o, nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.packed {
		if p.Kind == o.Kind && p.Name == o.Name && p.Revision == o.Revision {
			return p, nil
		}
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err != nil {
		return report.Object{}, fmt.Errorf("cluster: compress %s/%s: %w", o.Kind, o.Name, err)
	}
	if _, err := w.Write(o.Data); err != nil {
		return report.Object{}, fmt.Errorf("cluster: compress %s/%s: %w", o.Kind, o.Name, err)
	}
	if err := w.Close(); err != nil {
		return report.Object{}, fmt.Errorf("cluster: compress %s/%s: %w", o.Kind, o.Name, err)
	}
	o.Data, o.Packed = out.Bytes(), true
	if len(d.packed) == mostPacked {
		d.packed = d.packed[1:]
	}
	d.packed = append(d.packed, o)
	return o, nil
}

// unpack returns an object as it was before pack.
func unpack(o report.Object) (report.Object, error) {
	if !o.Packed {
		return o, nil
	}
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(o.Data)), largestObject+1))
	if err != nil {
		return report.Object{}, fmt.Errorf("cluster: decompress %s/%s: %w", o.Kind, o.Name, err)
	}
	if len(data) > largestObject {
		return report.Object{}, fmt.Errorf("cluster: decompress %s/%s: more than %d bytes", o.Kind, o.Name, largestObject)
	}
	o.Data, o.Packed = data, false
	return o, nil
}
