package election

import (
	"encoding/json"
	"fmt"
	"math"
	"net/netip"
	"time"
)

// maxAge limits the age that is read from a lock, so that any number is a valid duration.
const maxAge = time.Hour

type wireLock struct {
	Term uint64 `json:"term"`
	wireMember
	Former *wireMember `json:"former,omitempty"`
	// Past is missing in a lock that an earlier build has written.
	Past      *[]wirePastHolder `json:"past"`
	Heartbeat uint64            `json:"beat"`
	Era       uint64            `json:"era,omitempty"`
	Settled   bool              `json:"settled,omitempty"`
}

type wireMember struct {
	Name     string `json:"name,omitempty"`
	Instance int64  `json:"life,omitempty"`
	// Actual is the incarnation if Instance has another value, see hideIncarnation.
	Actual  int64  `json:"actual,omitempty"`
	Centre  string `json:"centre,omitempty"`
	Address string `json:"addr,omitempty"`
}

type wirePastHolder struct {
	wireMember
	// Age is the time since the process can have confirmed its role, in milliseconds.
	Age int64 `json:"age"`
}

// Encode returns the lock in the format of Decode.
func Encode(now time.Time, l Lock) ([]byte, error) {
	w := wireLock{Term: l.Term, Heartbeat: l.Heartbeat, Era: l.Era, Settled: l.Settled, wireMember: encodeMember(l.Holder)}
	if l.Former != (Member{}) {
		former := encodeMember(l.Former)
		w.Former = &former
	}
	past := []wirePastHolder{}
	for _, p := range l.PastHolders {
		past = append(past, wirePastHolder{wireMember: encodeMember(p.Member), Age: max(now.Sub(p.Confirmed).Milliseconds(), 0)})
	}
	w.Past = &past
	if len(past) > 0 {
		w.hideIncarnation()
		if w.Former != nil {
			w.Former.hideIncarnation()
		}
	}
	data, err := json.Marshal(w)
	if err != nil {
		return nil, fmt.Errorf("election: encode lock: %w", err)
	}
	return data, nil
}

// hideIncarnation replaces the incarnation by the highest one. An earlier build drops the past holders, and takes
// all grants that it inherits for expired once the process has stopped. It believes only an answer with at least
// this incarnation, and so waits as long as any past holder may renew grants.
func (w *wireMember) hideIncarnation() {
	if w.Name != "" {
		w.Actual, w.Instance = w.Instance, math.MaxInt64
	}
}

func encodeMember(m Member) wireMember {
	w := wireMember{Name: m.Name, Instance: m.Incarnation, Centre: m.DataCentre}
	if m.Address.IsValid() {
		w.Address = m.Address.String()
	}
	return w
}

// Decode parses a lock that was read at a time. If it does not say who has had the role before, as one that can't
// be parsed, it names a past holder that is not known and may have confirmed its role until then.
func Decode(read time.Time, data []byte) (Lock, error) {
	unknown := Lock{PastHolders: []PastHolder{{Confirmed: read}}}
	var w wireLock
	if err := json.Unmarshal(data, &w); err != nil {
		return unknown, fmt.Errorf("election: decode lock: %w", err)
	}
	l := Lock{Term: w.Term, Heartbeat: w.Heartbeat, Era: w.Era, Settled: w.Settled}
	var err error
	if l.Holder, err = decodeMember(w.wireMember); err != nil {
		return unknown, err
	}
	if w.Former != nil {
		if l.Former, err = decodeMember(*w.Former); err != nil {
			return unknown, err
		}
	}
	if w.Past == nil {
		l.PastHolders = unknown.PastHolders
		return l, nil
	}
	for _, p := range *w.Past {
		m, err := decodeMember(p.wireMember)
		if err != nil {
			return unknown, err
		}
		l.PastHolders = append(l.PastHolders, PastHolder{Member: m, Confirmed: read.Add(-time.Duration(min(max(p.Age, 0), maxAge.Milliseconds())) * time.Millisecond)})
	}
	return l, nil
}

func decodeMember(w wireMember) (Member, error) {
	m := Member{Name: w.Name, Incarnation: w.Instance, DataCentre: w.Centre}
	if w.Actual != 0 {
		m.Incarnation = w.Actual
	}
	if w.Address == "" {
		return m, nil
	}
	var err error
	if m.Address, err = netip.ParseAddrPort(w.Address); err != nil {
		return Member{}, fmt.Errorf("election: decode lock: %w", err)
	}
	return m, nil
}
