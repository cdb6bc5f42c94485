package ownership

import (
	"encoding/json"
	"fmt"

	"bramleystand.org/common/keyspace"
	"bramleystand.org/common/registry"
)

// wireTable is a table in JSON. Ranges refer to servers by their index in a list, because each
// server holds several ranges.
type wireTable struct {
	Term       uint64       `json:"term"`
	Generation uint64       `json:"gen,omitempty"`
	Era        uint64       `json:"era,omitempty"`
	Servers    []wireServer `json:"servers"`
	Ranges     []wireRange  `json:"ranges"`
}

type wireServer struct {
	ID       string `json:"id"`
	Instance int64  `json:"life"`
	Address  string `json:"addr"`
}

type wireRange struct {
	First              keyspace.Key `json:"a"`
	Last               keyspace.Key `json:"z"`
	Holders            []int        `json:"h,omitempty"`
	Target             *int         `json:"t,omitempty"`
	HoldersUnconfirmed bool         `json:"d,omitempty"`
}

// Encode returns the table in the format of Decode.
func Encode(t *Table) ([]byte, error) { return encode(t, t.Assignments) }

// Diff returns the assignments of t that differ from an earlier table of the same service, in the
// format of Apply.
func Diff(earlier, t *Table) ([]byte, error) {
	var changed []Assignment
	i := 0
	for _, a := range t.Assignments {
		for i < len(earlier.Assignments) && earlier.Assignments[i].First < a.First {
			i++
		}
		if i == len(earlier.Assignments) || !earlier.Assignments[i].equal(&a) {
			changed = append(changed, a)
		}
	}
	return encode(t, changed)
}

// encode returns some assignments of a table.
func encode(t *Table, assignments []Assignment) ([]byte, error) {
	w := wireTable{Term: t.Term, Generation: t.Generation, Era: t.Era}
	indexes := make(map[Server]int)
	indexOf := func(s Server) int {
		i, ok := indexes[s]
		if !ok {
			i = len(w.Servers)
			indexes[s] = i
			w.Servers = append(w.Servers, wireServer{ID: s.ID, Instance: s.Incarnation, Address: s.Address})
		}
		return i
	}
	for i := range assignments {
		a := &assignments[i]
		r := wireRange{First: a.First, Last: a.Last, HoldersUnconfirmed: a.Unconfirmed}
		for _, h := range a.Holders {
			r.Holders = append(r.Holders, indexOf(h))
		}
		if a.Target != nil {
			p := indexOf(*a.Target)
			r.Target = &p
		}
		w.Ranges = append(w.Ranges, r)
	}
	data, err := json.Marshal(w)
	if err != nil {
		return nil, fmt.Errorf("ownership: encode table of %q: %w", t.Service, err)
	}
	return data, nil
}

// Decode parses a table and checks that it covers every key once.
func Decode(service string, revision uint64, data []byte) (*Table, error) {
	t, err := decode(service, revision, data)
	if err != nil {
		return nil, err
	}
	if err := t.validate(); err != nil {
		return nil, err
	}
	return t, nil
}

// Apply returns the table that results from applying the output of Diff to an earlier table.
func Apply(earlier *Table, revision uint64, data []byte) (*Table, error) {
	t, err := decode(earlier.Service, revision, data)
	if err != nil {
		return nil, err
	}
	changed := t.Assignments
	t.Assignments = make([]Assignment, 0, len(earlier.Assignments)+len(changed))
	for _, a := range earlier.Assignments {
		for len(changed) > 0 && changed[0].First <= a.First {
			t.Assignments = append(t.Assignments, changed[0])
			changed = changed[1:]
		}
		if n := len(t.Assignments); n > 0 && t.Assignments[n-1].Last >= a.First {
			continue
		}
		t.Assignments = append(t.Assignments, a)
	}
	t.Assignments = append(t.Assignments, changed...)
	if err := t.validate(); err != nil {
		return nil, err
	}
	return t, nil
}

// validate returns an error unless the table covers every key once.
func (t *Table) validate() error {
	next := 0
	for i := range t.Assignments {
		a := &t.Assignments[i]
		if int(a.First) != next || a.Last < a.First {
			return fmt.Errorf("ownership: table of %q: range %d to %d does not continue after key %d", t.Service, a.First, a.Last, next-1)
		}
		next = int(a.Last) + 1
	}
	if next != keyspace.KeyCount {
		return fmt.Errorf("ownership: table of %q: keys from %d on are not covered", t.Service, next)
	}
	return nil
}

// decode parses assignments without checking which keys they cover.
func decode(service string, revision uint64, data []byte) (*Table, error) {
	var w wireTable
	if err := json.Unmarshal(data, &w); err != nil {
		return nil, fmt.Errorf("ownership: decode table of %q: %w", service, err)
	}
	t := &Table{Service: service, Revision: revision, Term: w.Term, Generation: w.Generation, Era: w.Era, Assignments: make([]Assignment, 0, len(w.Ranges))}
	server := func(i int) (Server, error) {
		if i < 0 || i >= len(w.Servers) {
			return Server{}, fmt.Errorf("ownership: decode table of %q: server index %d is not below the number of servers, %d", service, i, len(w.Servers))
		}
		s := w.Servers[i]
		return Server{Instance: registry.Instance{ID: s.ID, Incarnation: s.Instance}, Address: s.Address}, nil
	}
	for _, r := range w.Ranges {
		a := Assignment{Range: keyspace.Range{First: r.First, Last: r.Last}, Unconfirmed: r.HoldersUnconfirmed}
		for _, i := range r.Holders {
			s, err := server(i)
			if err != nil {
				return nil, err
			}
			a.Holders = append(a.Holders, s)
		}
		if r.Target != nil {
			s, err := server(*r.Target)
			if err != nil {
				return nil, err
			}
			a.Target = &s
		}
		t.Assignments = append(t.Assignments, a)
	}
	return t, nil
}
