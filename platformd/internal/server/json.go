package server

import (
	"encoding/json"
	"net/http"

	"bramleystand.org/platformd/internal/store"
	"bramleystand.org/platformd/internal/vm"
)

// objectJSON is an object in the response to a list or a watch; the value is base64-encoded.
type objectJSON struct {
	Name    string `json:"name"`
	Version int64  `json:"version"`
	Author  string `json:"author"`
	Change  string `json:"change"`
	Deleted bool   `json:"deleted,omitempty"`
	Value   []byte `json:"value,omitempty"`
}

// objectsJSON holds objects and the version up to which they include all changes.
type objectsJSON struct {
	Version int64        `json:"version"`
	Objects []objectJSON `json:"objects"`
}

// versionJSON is the response to a write: the new version of the object.
type versionJSON struct {
	Version int64 `json:"version"`
}

// problemJSON says why a call failed and, if the call concerns an object, describes its current
// version or tombstone.
type problemJSON struct {
	Error   string `json:"error"`
	Version int64  `json:"version,omitempty"`
	Author  string `json:"author,omitempty"`
	Change  string `json:"change,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// vmJSON is the JSON form of a VM.
type vmJSON struct {
	Name  string `json:"name"`
	DC    string `json:"dc"`
	State string `json:"state"`
}

// vmsJSON is a version of the list of VMs.
type vmsJSON struct {
	Version int64    `json:"version"`
	VMs     []vmJSON `json:"vms"`
}

func encodeObjects(list []store.Object, version int64) objectsJSON {
	n := objectsJSON{Version: version, Objects: make([]objectJSON, 0, len(list))}
	for _, o := range list {
		n.Objects = append(n.Objects, objectJSON{
			Name:    o.Name,
			Version: o.Version,
			Author:  o.Author,
			Change:  o.Change,
			Deleted: o.Deleted,
			Value:   o.Value,
		})
	}
	return n
}

func encodeVMs(version int64, list []vm.VM) vmsJSON {
	n := vmsJSON{Version: version, VMs: make([]vmJSON, 0, len(list))}
	for _, m := range list {
		n.VMs = append(n.VMs, vmJSON{Name: m.Name, DC: m.DataCentre, State: m.State})
	}
	return n
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(value)
}
