package peer

import (
	"net/netip"

	"bramleystand.org/entry/internal/control"
)

type wirePair struct {
	_          struct{} `cbor:",toarray"`
	Service    string
	DataCentre string
}

type wireMember struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Incarnation int64
	DataCentre  string
	Address     netip.AddrPort
}

func encodePair(p control.Pair) wirePair {
	return wirePair{Service: p.Service, DataCentre: p.DataCentre}
}

func decodePair(w wirePair) control.Pair {
	return control.Pair{Service: w.Service, DataCentre: w.DataCentre}
}

func encodeMember(m control.Member) wireMember {
	return wireMember{Name: m.Name, Incarnation: m.Incarnation, DataCentre: m.DataCentre, Address: m.Address}
}

func decodeMember(w wireMember) control.Member {
	return control.Member{Name: w.Name, Incarnation: w.Incarnation, DataCentre: w.DataCentre, Address: w.Address}
}

// mapAll applies f to each element of a slice. It returns nil for a nil slice.
func mapAll[In, Out any](in []In, f func(In) Out) []Out {
	if in == nil {
		return nil
	}
	out := make([]Out, len(in))
	for i := range in {
		out[i] = f(in[i])
	}
	return out
}
