package platform

import (
	"encoding/json"
	"fmt"
	"net/http"
)

// answer is a whole answer of the platform.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// problemJSON says why a call failed and what is there.
type problemJSON struct {
	Error   string `json:"error"`
	Version int64  `json:"version"`
	Author  string `json:"author"`
	Change  string `json:"change"`
	Deleted bool   `json:"deleted"`
}

// objectJSON is an object in a list or a watch.
type objectJSON struct {
	Name    string `json:"name"`
	Version int64  `json:"version"`
	Author  string `json:"author"`
	Change  string `json:"change"`
	Deleted bool   `json:"deleted"`
	Value   []byte `json:"value"`
}

// objectsJSON holds objects and the version up to which they are complete.
type objectsJSON struct {
	Version int64        `json:"version"`
	Objects []objectJSON `json:"objects"`
}

// vmsJSON is the list of VMs.
type vmsJSON struct {
	Version int64 `json:"version"`
	VMs     []struct {
		Name  string `json:"name"`
		DC    string `json:"dc"`
		State string `json:"state"`
	} `json:"vms"`
}

func (n objectsJSON) decode() []Object {
	list := make([]Object, 0, len(n.Objects))
	for _, o := range n.Objects {
		list = append(list, Object{
			Name:    o.Name,
			Version: o.Version,
			Author:  o.Author,
			Change:  o.Change,
			Deleted: o.Deleted,
			Value:   o.Value,
		})
	}
	return list
}

// parse reads the body of a successful answer.
func (a answer) parse(into any) error {
	if a.status != http.StatusOK {
		return a.failure()
	}
	if err := json.Unmarshal(a.body, into); err != nil {
		return &UnavailableError{Err: fmt.Errorf("platform: answer: %w", err)}
	}
	return nil
}

func (a answer) objects() (n objectsJSON, err error) {
	err = a.parse(&n)
	return n, err
}

func (a answer) vms() (VMs, error) {
	var n vmsJSON
	if err := a.parse(&n); err != nil {
		return VMs{}, err
	}
	list := VMs{Version: n.Version, All: make([]VM, 0, len(n.VMs))}
	for _, m := range n.VMs {
		list.All = append(list.All, VM{Name: m.Name, DataCentre: m.DC, Leaving: m.State == "leaving"})
	}
	return list, nil
}

// problem returns the error in the body, as far as it can be read.
func (a answer) problem() problemJSON {
	var p problemJSON
	if json.Unmarshal(a.body, &p) != nil {
		p.Error = http.StatusText(a.status)
	}
	return p
}

// failure returns the error for an answer that was not expected.
func (a answer) failure() error {
	return &RejectedError{Status: a.status, Reason: a.problem().Error}
}
