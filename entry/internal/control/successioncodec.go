package control

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"bramleystand.org/common/settings"
)

// SuccessionPrefix is the name prefix of platform objects that hold succession records.
const SuccessionPrefix = "successions/"

// successionJSON is the stored form of a Succession.
type successionJSON struct {
	Service string       `json:"service"`
	Centre  string       `json:"centre"`
	Term    uint32       `json:"term"`
	Members []memberJSON `json:"members"`
	Former  []memberJSON `json:"former"`
	Founded uint32       `json:"founded"`
}

// memberJSON is the stored form of a Member, in succession records and in routing tables.
type memberJSON struct {
	Name        string         `json:"name"`
	Incarnation int64          `json:"incarnation"`
	Centre      string         `json:"centre"`
	Address     netip.AddrPort `json:"address"`
}

// DecodeSuccession parses a succession record from the JSON that is stored on the platform.
// The version is that of the platform object; the JSON does not contain it.
func DecodeSuccession(data []byte, version int64) (Succession, error) {
	var w successionJSON
	if err := settings.Decode(data, &w); err != nil {
		return Succession{}, fmt.Errorf("control: succession: %w", err)
	}
	return Succession{
		Pair: Pair{Service: w.Service, DataCentre: w.Centre}, Term: w.Term, Version: version,
		Members: decodeMembers(w.Members), Former: decodeMembers(w.Former), Founded: w.Founded,
	}, nil
}

// EncodeSuccession returns the JSON that is stored on the platform. It leaves out the version,
// which the platform assigns.
func EncodeSuccession(s Succession) ([]byte, error) {
	return json.Marshal(successionJSON{
		Service: s.Pair.Service, Centre: s.Pair.DataCentre, Term: s.Term,
		Members: encodeMembers(s.Members), Former: encodeMembers(s.Former), Founded: s.Founded,
	})
}

func decodeMembers(encoded []memberJSON) []Member {
	var members []Member
	for _, w := range encoded {
		members = append(members, w.decode())
	}
	return members
}

func encodeMembers(members []Member) []memberJSON {
	encoded := []memberJSON{}
	for _, m := range members {
		encoded = append(encoded, encodeMember(m))
	}
	return encoded
}

func (w memberJSON) decode() Member {
	return Member{Name: w.Name, Incarnation: w.Incarnation, DataCentre: w.Centre, Address: w.Address}
}

func encodeMember(m Member) memberJSON {
	return memberJSON{Name: m.Name, Incarnation: m.Incarnation, Centre: m.DataCentre, Address: m.Address}
}
