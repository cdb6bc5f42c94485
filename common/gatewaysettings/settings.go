// Package gatewaysettings parses the settings file of an entry process that runs as a gateway
// on the users' platform.
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

// Settings holds the validated settings of one entry process.
type Settings struct {
	Name       string
	DataCentre string
	// Client, Ready, Peer and Admin are the listen addresses for clients, the readiness checks
	// of the load balancer, entry processes, and operators.
	Client netip.AddrPort
	Ready  netip.AddrPort
	Peer   netip.AddrPort
	Admin  netip.AddrPort
	// Store is the address of the platform's metadata store.
	Store netip.AddrPort
	// Seeds are the peer addresses of entry processes to contact when the store can't be reached.
	Seeds []netip.AddrPort
	// Stop is the maximum duration of a graceful stop.
	Stop time.Duration
	// Retries limits how many requests to a service all entry processes together may retry.
	Retries Retries
	// Cores is the CPU time that the process gets per second, in seconds of a core of
	// normal speed, which has speed 1.
	Cores float64
	// Memory is the memory limit of the process in bytes.
	Memory int64
	// Logs limits what the process writes to its log per second.
	Logs linebudget.Limit
}

// Retries is a retry budget: over any time window, Share times the number of requests plus Slack.
type Retries struct {
	Share float64
	Slack float64
	// Processes is the largest number of entry processes; each gets an equal part of the budget.
	Processes int
}

type settingsJSON struct {
	Name    string            `json:"name"`
	Centre  string            `json:"centre"`
	Client  netip.AddrPort    `json:"client"`
	Ready   netip.AddrPort    `json:"ready"`
	Peer    netip.AddrPort    `json:"peer"`
	Admin   netip.AddrPort    `json:"admin"`
	Store   netip.AddrPort    `json:"store"`
	Seeds   []netip.AddrPort  `json:"seeds"`
	Stop    settings.Duration `json:"stop"`
	Retries retriesJSON       `json:"retries"`
	Cores   coresJSON         `json:"cores"`
	Memory  int64             `json:"memory"`
	Logs    logsJSON          `json:"logs"`
}

type coresJSON struct {
	Share float64 `json:"share"`
	Speed float64 `json:"speed"`
}

type logsJSON struct {
	Lines int `json:"lines"`
	Bytes int `json:"bytes"`
}

type retriesJSON struct {
	Share     float64 `json:"share"`
	Slack     float64 `json:"slack"`
	Processes int     `json:"processes"`
}

// megabyte is the unit of the field "memory" in the file.
const megabyte = 1 << 20

// Parse reads and validates a settings file.
func Parse(data []byte) (Settings, error) {
	var w settingsJSON
	parseErr := settings.Decode(data, &w)
	s := Settings{
		Name: w.Name, DataCentre: w.Centre, Client: w.Client, Ready: w.Ready, Peer: w.Peer, Admin: w.Admin,
		Store: w.Store, Seeds: w.Seeds, Stop: time.Duration(w.Stop), Memory: w.Memory * megabyte,
		Retries: Retries(w.Retries), Cores: w.Cores.Share * w.Cores.Speed, Logs: linebudget.Limit(w.Logs),
	}
	if err := s.validate(parseErr); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	return s, nil
}
