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
	// ClientAddress, ReadyAddress, PeerAddress and AdminAddress are the listen addresses for
	// clients, the readiness checks of the load balancer, entry processes, and operators.
	ClientAddress netip.AddrPort
	ReadyAddress  netip.AddrPort
	PeerAddress   netip.AddrPort
	AdminAddress  netip.AddrPort
	// Store is the address of the platform's metadata store.
	Store netip.AddrPort
	// Seeds are the peer addresses of entry processes to contact when the store can't be reached.
	Seeds []netip.AddrPort
	// Stop is the maximum duration of a graceful stop.
	Stop time.Duration
	// Evacuation is the time in which the servers of a data centre must have ceased to get requests
	// after the operator has asked for it; zero if the platform knows no evacuations.
	Evacuation time.Duration
	// RetryBudget limits how many requests to a service all entry processes together may retry.
	RetryBudget RetryBudget
	// Cores is the CPU time that the process gets per second, in seconds of a core of
	// normal speed, which has speed 1.
	Cores float64
	// MemoryLimit is the memory limit of the process in bytes.
	MemoryLimit int64
	// Descriptors is the number of file descriptors that the process may open; zero for what the operating
	// system allows it.
	Descriptors int
	// LogLimit limits what the process writes to its log per second.
	LogLimit linebudget.Limit
}

// RetryBudget limits the retries in any time window to Share times the number of requests, plus
// Burst.
type RetryBudget struct {
	Share float64
	Burst float64
	// Processes is the largest number of entry processes; each gets an equal part of the budget.
	Processes int
}

type settingsJSON struct {
	Name          string            `json:"name"`
	Centre        string            `json:"centre"`
	ClientAddress netip.AddrPort    `json:"client"`
	ReadyAddress  netip.AddrPort    `json:"ready"`
	PeerAddress   netip.AddrPort    `json:"peer"`
	AdminAddress  netip.AddrPort    `json:"admin"`
	Store         netip.AddrPort    `json:"store"`
	Seeds         []netip.AddrPort  `json:"seeds"`
	Stop          settings.Duration `json:"stop"`
	Evacuation    settings.Duration `json:"evacuate,omitempty"`
	RetryBudget   retriesJSON       `json:"retries"`
	Cores         coresJSON         `json:"cores"`
	MemoryLimit   int64             `json:"memory"`
	Descriptors   int               `json:"descriptors,omitempty"`
	LogLimit      logsJSON          `json:"logs"`
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
	Burst     float64 `json:"slack"`
	Processes int     `json:"processes"`
}

// megabyte is the unit of the field "memory" in the file.
const megabyte = 1 << 20

// Parse reads and validates a settings file.
func Parse(data []byte) (Settings, error) {
	var w settingsJSON
	parseErr := settings.Decode(data, &w)
	s := Settings{
		Name: w.Name, DataCentre: w.Centre, ClientAddress: w.ClientAddress, ReadyAddress: w.ReadyAddress, PeerAddress: w.PeerAddress, AdminAddress: w.AdminAddress,
		Store: w.Store, Seeds: w.Seeds, Stop: time.Duration(w.Stop), Evacuation: time.Duration(w.Evacuation), MemoryLimit: w.MemoryLimit * megabyte, Descriptors: w.Descriptors,
		RetryBudget: RetryBudget(w.RetryBudget), Cores: w.Cores.Share * w.Cores.Speed, LogLimit: linebudget.Limit(w.LogLimit),
	}
	if err := s.validate(parseErr); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	return s, nil
}
