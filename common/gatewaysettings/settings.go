// Package gatewaysettings reads the settings of an entry process that runs on the users'
// platform.
//
// The whole file is checked before the process starts, and all errors are reported at once.
//
// # Usage
//
//	s, err := gatewaysettings.Parse(data)
//	if err != nil {
//		return fmt.Errorf("settings %s: %w", file, err)
//	}
package gatewaysettings

import (
	"fmt"
	"net/netip"
	"time"

	"bramleystand.org/common/linebudget"
	"bramleystand.org/common/settings"
)

// Settings of one entry process.
type Settings struct {
	Name       string
	DataCentre string
	// Client, Ready, Peer and Admin are the listen addresses for clients, the balancer's
	// question whether the process takes requests, entry processes, and operators.
	Client netip.AddrPort
	Ready  netip.AddrPort
	Peer   netip.AddrPort
	Admin  netip.AddrPort
	// Store is the address of the platform's metadata store.
	Store netip.AddrPort
	// Seeds are the peer addresses of entry processes that are asked when the store can't be reached.
	Seeds []netip.AddrPort
	// Stop is the longest time that a graceful stop may take.
	Stop time.Duration
	// Retries are the requests that all entry processes together may send again to a service.
	Retries Retries
	// Cores is the processor time that the process gets in a second, in seconds of a core of usual speed.
	Cores float64
	// Memory is the most memory of the process in bytes.
	Memory int64
	// Logs is the most that the process writes to its log in a second.
	Logs linebudget.Limit
}

// Retries are Share of the requests of a window and Slack more.
type Retries struct {
	Share float64
	Slack float64
	// Processes is the largest number of entry processes, each of which takes an equal part.
	Processes int
}

type wire struct {
	Name    string            `json:"name"`
	Centre  string            `json:"centre"`
	Client  netip.AddrPort    `json:"client"`
	Ready   netip.AddrPort    `json:"ready"`
	Peer    netip.AddrPort    `json:"peer"`
	Admin   netip.AddrPort    `json:"admin"`
	Store   netip.AddrPort    `json:"store"`
	Seeds   []netip.AddrPort  `json:"seeds"`
	Stop    settings.Duration `json:"stop"`
	Retries wireRetries       `json:"retries"`
	Cores   wireCores         `json:"cores"`
	Memory  int64             `json:"memory"`
	Logs    wireLogs          `json:"logs"`
}

type wireCores struct {
	Share float64 `json:"share"`
	Speed float64 `json:"speed"`
}

type wireLogs struct {
	Lines int `json:"lines"`
	Bytes int `json:"bytes"`
}

type wireRetries struct {
	Share     float64 `json:"share"`
	Slack     float64 `json:"slack"`
	Processes int     `json:"processes"`
}

// megabyte is the unit of the memory in the file.
const megabyte = 1 << 20

// Parse reads and validates a settings file.
func Parse(data []byte) (Settings, error) {
	var w wire
	parsed := settings.Decode(data, &w)
	s := Settings{
		Name: w.Name, DataCentre: w.Centre, Client: w.Client, Ready: w.Ready, Peer: w.Peer, Admin: w.Admin,
		Store: w.Store, Seeds: w.Seeds, Stop: time.Duration(w.Stop), Memory: w.Memory * megabyte,
		Retries: Retries(w.Retries), Cores: w.Cores.Share * w.Cores.Speed, Logs: linebudget.Limit(w.Logs),
	}
	if err := s.validate(parsed); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	return s, nil
}
