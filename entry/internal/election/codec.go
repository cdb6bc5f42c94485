package election

import (
	"encoding/json"
	"fmt"
	"net/netip"
)

type wireLock struct {
	Term      uint64 `json:"term"`
	Name      string `json:"name,omitempty"`
	Instance  int64  `json:"life,omitempty"`
	Centre    string `json:"centre,omitempty"`
	Address   string `json:"addr,omitempty"`
	Heartbeat uint64 `json:"beat"`
	Era       uint64 `json:"era,omitempty"`
	Settled   bool   `json:"settled,omitempty"`
}

// Encode returns the lock in the format of Decode.
func Encode(l Lock) ([]byte, error) {
	w := wireLock{Term: l.Term, Heartbeat: l.Heartbeat, Era: l.Era, Settled: l.Settled, Name: l.Holder.Name, Instance: l.Holder.Incarnation, Centre: l.Holder.DataCentre}
	if l.Holder.Address.IsValid() {
		w.Address = l.Holder.Address.String()
	}
	data, err := json.Marshal(w)
	if err != nil {
		return nil, fmt.Errorf("election: encode lock: %w", err)
	}
	return data, nil
}

// Decode parses a lock.
func Decode(data []byte) (Lock, error) {
	var w wireLock
	if err := json.Unmarshal(data, &w); err != nil {
		return Lock{}, fmt.Errorf("election: decode lock: %w", err)
	}
	l := Lock{Term: w.Term, Heartbeat: w.Heartbeat, Era: w.Era, Settled: w.Settled, Holder: Member{Name: w.Name, Incarnation: w.Instance, DataCentre: w.Centre}}
	if w.Address != "" {
		address, err := netip.ParseAddrPort(w.Address)
		if err != nil {
			return Lock{}, fmt.Errorf("election: decode lock: %w", err)
		}
		l.Holder.Address = address
	}
	return l, nil
}
