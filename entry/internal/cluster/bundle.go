package cluster

import (
	"fmt"

	"bramleystand.org/entry/internal/report"
	"bramleystand.org/entry/internal/rpc"
)

// kindBundle is the kind of an object that holds several small ones, compressed together: entries of
// servers are alike, and hundreds of processes get each change.
const kindBundle = "bundle"

// wireBundle holds the objects of a bundle.
type wireBundle struct {
	_       struct{} `cbor:",toarray"`
	Objects []wireBundled
}

type wireBundled struct {
	_        struct{} `cbor:",toarray"`
	Kind     string
	Name     string
	Revision uint64
	Deleted  bool
	Data     []byte
}

// span identifies the changes between two positions of a replica.
type span struct{ from, to uint64 }

// bundle returns objects as they are sent: two or more small ones together, and large ones compressed one by
// one. Those of a span are encoded once for all followers.
func (d *encodedUpdates) bundle(s span, objects []report.Object) ([]report.Object, error) {
	d.mu.Lock()
	out, ok := d.bundles[s]
	d.mu.Unlock()
	if ok {
		return out, nil
	}
	out = nil
	var small wireBundle
	for _, o := range objects {
		if len(o.Data) < minCompressSize {
			small.Objects = append(small.Objects, wireBundled{Kind: o.Kind, Name: o.Name, Revision: o.Revision, Deleted: o.Deleted, Data: o.Data})
			continue
		}
		c, err := d.compress(o)
		if err != nil {
			return nil, err
		}
		out = append(out, c)
	}
	b, err := encodeBundle(small)
	if err != nil {
		return nil, err
	}
	out = append(out, b...)
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.bundles) >= maxBundles {
		clear(d.bundles)
	}
	if d.bundles == nil {
		d.bundles = make(map[span][]report.Object)
	}
	d.bundles[s] = out
	return out, nil
}

// maxBundles bounds the spans whose encoded objects are kept.
const maxBundles = 64

// encodeBundle returns the bundle of some objects, or the only one as it is.
func encodeBundle(b wireBundle) ([]report.Object, error) {
	switch len(b.Objects) {
	case 0:
		return nil, nil
	case 1:
		return b.objects(), nil
	}
	data, err := rpc.Encoding{}.Marshal(&b)
	if err != nil {
		return nil, fmt.Errorf("cluster: encode bundle: %w", err)
	}
	o, err := compressed(report.Object{Kind: kindBundle, Data: data})
	if err != nil {
		return nil, err
	}
	return []report.Object{o}, nil
}

func (b wireBundle) objects() []report.Object {
	out := make([]report.Object, 0, len(b.Objects))
	for _, o := range b.Objects {
		out = append(out, report.Object{Kind: o.Kind, Name: o.Name, Revision: o.Revision, Deleted: o.Deleted, Data: o.Data})
	}
	return out
}

// unbundle returns the objects of a bundle, or the object itself if it is none.
func unbundle(o report.Object) ([]report.Object, error) {
	o, err := decompress(o)
	if err != nil {
		return nil, err
	}
	if o.Kind != kindBundle {
		return []report.Object{o}, nil
	}
	var b wireBundle
	if err := (rpc.Encoding{}).Unmarshal(o.Data, &b); err != nil {
		return nil, fmt.Errorf("cluster: decode bundle: %w", err)
	}
	return b.objects(), nil
}
