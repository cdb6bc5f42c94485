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
	Former  []memberWire `json:"former"`
	Founded uint32       `json:"founded"`
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
	return Succession{
		Pair: Pair{Service: w.Service, DataCentre: w.Centre}, Term: w.Term, Version: version,
		Members: membersOf(w.Members), Former: membersOf(w.Former), Founded: w.Founded,
	}, nil
}

// EncodeSuccession returns the platform's JSON form, without the version.
func EncodeSuccession(s Succession) ([]byte, error) {
	return json.Marshal(successionWire{
		Service: s.Pair.Service, Centre: s.Pair.DataCentre, Term: s.Term,
		Members: wiresOf(s.Members), Former: wiresOf(s.Former), Founded: s.Founded,
	})
}

func membersOf(wires []memberWire) []Member {
	var members []Member
	for _, w := range wires {
		members = append(members, w.member())
	}
	return members
}

func wiresOf(members []Member) []memberWire {
	wires := []memberWire{}
	for _, m := range members {
		wires = append(wires, wireOf(m))
	}
	return wires
}

func (w memberWire) member() Member {
	return Member{Name: w.Name, Incarnation: w.Incarnation, DataCentre: w.Centre, Address: w.Address}
}

func wireOf(m Member) memberWire {
	return memberWire{Name: m.Name, Incarnation: m.Incarnation, Centre: m.DataCentre, Address: m.Address}
}
