package cluster

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"bramleystand.org/entry/internal/report"
)

const (
	// minCompressSize is the size in bytes from which an object is compressed.
	minCompressSize = 1 << 10
	// maxObjectSize bounds the memory for an object that another process sends; the store accepts
	// objects of up to 1 MB.
	maxObjectSize = 4 << 20
	// maxCompressedObjects bounds the compressed objects that are kept.
	maxCompressedObjects = 8
)

// compress returns an object as it is sent. Large objects are compressed once for all followers.
func (d *encodedUpdates) compress(o report.Object) (report.Object, error) {
	if len(o.Data) < minCompressSize || o.Deleted {
		return o, nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.compressed {
		if p.Kind == o.Kind && p.Name == o.Name && p.Revision == o.Revision {
			return p, nil
		}
	}
	o, err := compressed(o)
	if err != nil {
		return report.Object{}, err
	}
	if len(d.compressed) == maxCompressedObjects {
		d.compressed = d.compressed[1:]
	}
	d.compressed = append(d.compressed, o)
	return o, nil
}

// compressed returns an object with compressed data, unless it is small.
func compressed(o report.Object) (report.Object, error) {
	if len(o.Data) < minCompressSize {
		return o, nil
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
	o.Data, o.Compressed = out.Bytes(), true
	return o, nil
}

// decompress reverses compress.
func decompress(o report.Object) (report.Object, error) {
	if !o.Compressed {
		return o, nil
	}
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(o.Data)), maxObjectSize+1))
	if err != nil {
		return report.Object{}, fmt.Errorf("cluster: decompress %s/%s: %w", o.Kind, o.Name, err)
	}
	if len(data) > maxObjectSize {
		return report.Object{}, fmt.Errorf("cluster: decompress %s/%s: more than %d bytes", o.Kind, o.Name, maxObjectSize)
	}
	o.Data, o.Compressed = data, false
	return o, nil
}
