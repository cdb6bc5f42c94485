// Package dump reads the JSON state dump of an entry process from its admin address.
//
// Only the fields that the commands show are decoded. Other fields are ignored, so that dumps of
// older and newer processes can be read.
//
// # Usage
//
//	d, err := dump.Read(ctx, netip.MustParseAddrPort("127.0.0.1:7003"))
//	fmt.Println(d.Member.Name, d.Preset, d.Versions["preset"])
package dump

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
)

// maxDumpBytes limits how much of a dump is read.
const maxDumpBytes = 256 << 20

// Dump is the state of one entry process, as far as the commands show it.
type Dump struct {
	Member  Member   `json:"member"`
	Members []Member `json:"members"`
	// Versions holds the version in force of each configuration object, by object name.
	Versions map[string]int64 `json:"versions"`
	Preset   string           `json:"preset"`
	Tables   []Table          `json:"tables"`
	// Controllers holds, for each service in a data centre, the state of the process in the
	// control of this pair. The key is service@centre.
	Controllers map[string]Controller `json:"controllers"`
	// Services holds the platform object of each service, by service name; older processes leave
	// it out.
	Services map[string]json.RawMessage `json:"services"`
	// Problems holds, by object name, why the newest version of an object is invalid and not in
	// force.
	Problems map[string]string `json:"problems"`
}

// Read fetches the dump of the process with the given admin address. It also returns the whole
// body, which includes the fields that Dump does not have.
func Read(ctx context.Context, address netip.AddrPort) (d Dump, body []byte, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/dump", nil)
	if err != nil {
		return Dump{}, nil, fmt.Errorf("dump: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return Dump{}, nil, fmt.Errorf("dump: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err = io.ReadAll(io.LimitReader(response.Body, maxDumpBytes))
	if err != nil {
		return Dump{}, nil, fmt.Errorf("dump: read from %s: %w", address, err)
	}
	if response.StatusCode != http.StatusOK {
		return Dump{}, nil, fmt.Errorf("dump: %s answered %s: %.200s", address, response.Status, body)
	}
	if err := json.Unmarshal(body, &d); err != nil {
		return Dump{}, nil, fmt.Errorf("dump: %s sent an invalid dump: %w", address, err)
	}
	return d, body, nil
}
