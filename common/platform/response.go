package platform

import (
	"encoding/json"
	"fmt"
	"net/http"
)

// response is a response of the platform with its whole body.
type response struct {
	status int
	header http.Header
	body   []byte
}

// problemJSON is the body of an error response: why the call failed, and the object's current
// version.
type problemJSON struct {
	Error   string `json:"error"`
	Version int64  `json:"version"`
	Author  string `json:"author"`
	Change  string `json:"change"`
	Deleted bool   `json:"deleted"`
}

// objectJSON is an object or tombstone in the response to a list or watch.
type objectJSON struct {
	Name    string `json:"name"`
	Version int64  `json:"version"`
	Author  string `json:"author"`
	Change  string `json:"change"`
	Deleted bool   `json:"deleted"`
	Value   []byte `json:"value"`
}

// objectsJSON is the response to a list or watch; Version is the version up to which it is complete.
type objectsJSON struct {
	Version int64        `json:"version"`
	Objects []objectJSON `json:"objects"`
}

// vmsJSON is the response to a request for the list of VMs.
type vmsJSON struct {
	Version int64 `json:"version"`
	VMs     []struct {
		Name  string `json:"name"`
		DC    string `json:"dc"`
		State string `json:"state"`
	} `json:"vms"`
}

// decode converts the objects of a response.
func (l objectsJSON) decode() []Object {
	list := make([]Object, 0, len(l.Objects))
	for _, o := range l.Objects {
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

// parse decodes the body of a successful response; the error of any other is a *RejectedError.
func (r response) parse(into any) error {
	if r.status != http.StatusOK {
		return r.rejection()
	}
	if err := json.Unmarshal(r.body, into); err != nil {
		return &UnavailableError{Err: fmt.Errorf("platform: decode response: %w", err)}
	}
	return nil
}

func (r response) objects() (list objectsJSON, err error) {
	err = r.parse(&list)
	return list, err
}

func (r response) vms() (VMs, error) {
	var data vmsJSON
	if err := r.parse(&data); err != nil {
		return VMs{}, err
	}
	list := VMs{Version: data.Version, Items: make([]VM, 0, len(data.VMs))}
	for _, m := range data.VMs {
		list.Items = append(list.Items, VM{Name: m.Name, DataCentre: m.DC, Leaving: m.State == "leaving"})
	}
	return list, nil
}

// problem decodes the body of an error response, or names the status if that is not possible.
func (r response) problem() problemJSON {
	var p problemJSON
	if json.Unmarshal(r.body, &p) != nil {
		p.Error = http.StatusText(r.status)
	}
	return p
}

// rejection returns the error for a response with an unexpected status.
func (r response) rejection() error {
	return &RejectedError{Status: r.status, Reason: r.problem().Error}
}
