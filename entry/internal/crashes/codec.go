package crashes

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/suspect"
)

type wireEntries struct {
	Requests []wireEntry `json:"requests"`
}

// wireEntry has the fingerprint in hexadecimal, because JSON numbers lose digits, and the end in milliseconds of
// Unix time.
type wireEntry struct {
	Fingerprint string       `json:"print"`
	Round       uint32       `json:"round,omitempty"`
	Servers     []wireServer `json:"servers,omitempty"`
	Expires     int64        `json:"until"`
}

type wireServer struct {
	ID       string `json:"id"`
	Instance int64  `json:"life"`
}

// Encode returns entries in the format of Decode.
func Encode(entries []Entry) ([]byte, error) {
	w := wireEntries{Requests: make([]wireEntry, 0, len(entries))}
	for _, e := range entries {
		r := wireEntry{Fingerprint: strconv.FormatUint(uint64(e.Fingerprint), 16), Round: e.Round, Expires: e.Expires.UnixMilli()}
		for _, s := range e.Servers {
			r.Servers = append(r.Servers, wireServer{ID: s.ID, Instance: s.Incarnation})
		}
		w.Requests = append(w.Requests, r)
	}
	data, err := json.Marshal(w)
	if err != nil {
		return nil, fmt.Errorf("crashes: encode: %w", err)
	}
	return data, nil
}

// Decode parses entries.
func Decode(data []byte) ([]Entry, error) {
	var w wireEntries
	if err := json.Unmarshal(data, &w); err != nil {
		return nil, fmt.Errorf("crashes: decode: %w", err)
	}
	entries := make([]Entry, 0, len(w.Requests))
	for _, r := range w.Requests {
		f, err := strconv.ParseUint(r.Fingerprint, 16, 64)
		if err != nil {
			return nil, fmt.Errorf("crashes: decode fingerprint: %w", err)
		}
		e := Entry{Fingerprint: suspect.Fingerprint(f), Round: r.Round, Expires: time.UnixMilli(r.Expires)}
		for _, s := range r.Servers {
			e.Servers = append(e.Servers, registry.Instance{ID: s.ID, Incarnation: s.Instance})
		}
		entries = append(entries, e)
	}
	return entries, nil
}
