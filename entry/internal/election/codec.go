package election

import (
	"encoding/json"
	"fmt"
	"net/netip"
)

type wireLock struct {
	Term uint64 `json:"term"`
	wireMember
	Former    *wireMember `json:"former,omitempty"`
	Heartbeat uint64      `json:"beat"`
	Era       uint64      `json:"era,omitempty"`
	Settled   bool        `json:"settled,omitempty"`
}

type wireMember struct {
	Name     string `json:"name,omitempty"`
	Instance int64  `json:"life,omitempty"`
	Centre   string `json:"centre,omitempty"`
	Address  string `json:"addr,omitempty"`
}

// Encode returns the lock in the format of Decode.
func Encode(l Lock) ([]byte, error) {
	w := wireLock{Term: l.Term, Heartbeat: l.Heartbeat, Era: l.Era, Settled: l.Settled, wireMember: encodeMember(l.Holder)}
	if l.Former != (Member{}) {
		former := encodeMember(l.Former)
		w.Former = &former
	}
	data, err := json.Marshal(w)
	if err != nil {
		return nil, fmt.Errorf("election: encode lock: %w", err)
	}
	return data, nil
}

func encodeMember(m Member) wireMember {
	w := wireMember{Name: m.Name, Instance: m.Incarnation, Centre: m.DataCentre}
	if m.Address.IsValid() {
		w.Address = m.Address.String()
	}
	return w
}

// Decode parses a lock.
func Decode(data []byte) (Lock, error) {
	var w wireLock
	if err := json.Unmarshal(data, &w); err != nil {
		return Lock{}, fmt.Errorf("election: decode lock: %w", err)
	}
	l := Lock{Term: w.Term, Heartbeat: w.Heartbeat, Era: w.Era, Settled: w.Settled}
	var err error
	if l.Holder, err = decodeMember(w.wireMember); err != nil {
		return Lock{}, err
	}
	if w.Former == nil {
		return l, nil
	}
	if l.Former, err = decodeMember(*w.Former); err != nil {
		return Lock{}, err
	}
	return l, nil
}

func decodeMember(w wireMember) (Member, error) {
	m := Member{Name: w.Name, Incarnation: w.Instance, DataCentre: w.Centre}
	if w.Address == "" {
		return m, nil
	}
	var err error
	if m.Address, err = netip.ParseAddrPort(w.Address); err != nil {
		return Member{}, fmt.Errorf("election: decode lock: %w", err)
	}
	return m, nil
}
