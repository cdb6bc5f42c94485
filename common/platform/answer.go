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

// machinesJSON is the list of VMs.
type machinesJSON struct {
	Version  int64 `json:"version"`
	Machines []struct {
		Name  string `json:"name"`
		DC    string `json:"dc"`
		State string `json:"state"`
	} `json:"machines"`
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

func (a answer) machines() (Machines, error) {
	var n machinesJSON
	if err := a.parse(&n); err != nil {
		return Machines{}, err
	}
	list := Machines{Version: n.Version, All: make([]Machine, 0, len(n.Machines))}
	for _, m := range n.Machines {
		list.All = append(list.All, Machine{Name: m.Name, DataCentre: m.DC, Leaving: m.State == "leaving"})
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
