package control

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"bramleystand.org/common/settings"
)

// SuccessionPrefix begins the names of platform objects that hold succession records.
const SuccessionPrefix = "successions/"

type successionWire struct {
	Service string       `json:"service"`
	Centre  string       `json:"centre"`
	Term    uint32       `json:"term"`
	Members []memberWire `json:"members"`
}

type memberWire struct {
	Name        string         `json:"name"`
	Incarnation int64          `json:"incarnation"`
	Centre      string         `json:"centre"`
	Address     netip.AddrPort `json:"address"`
}

// DecodeSuccession parses the platform's JSON form of a succession record of the given version.
func DecodeSuccession(data []byte, version int64) (Succession, error) {
	var w successionWire
	if err := settings.Decode(data, &w); err != nil {
		return Succession{}, fmt.Errorf("control: succession: %w", err)
	}
	s := Succession{Pair: Pair{Service: w.Service, DataCentre: w.Centre}, Term: w.Term, Version: version}
	for _, m := range w.Members {
		s.Members = append(s.Members, m.member())
	}
	return s, nil
}

// EncodeSuccession returns the platform's JSON form, without the version.
func EncodeSuccession(s Succession) ([]byte, error) {
	w := successionWire{Service: s.Pair.Service, Centre: s.Pair.DataCentre, Term: s.Term, Members: []memberWire{}}
	for _, m := range s.Members {
		w.Members = append(w.Members, wireOf(m))
	}
	return json.Marshal(w)
}

func (w memberWire) member() Member {
	return Member{Name: w.Name, Incarnation: w.Incarnation, DataCentre: w.Centre, Address: w.Address}
}

func wireOf(m Member) memberWire {
	return memberWire{Name: m.Name, Incarnation: m.Incarnation, Centre: m.DataCentre, Address: m.Address}
}
