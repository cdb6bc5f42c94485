// Package entrysettings parses the settings file of the entry process. The process uses it at
// its start, and operators use it to check a file before they install it.
//
// The whole file is checked before the process starts, and all errors are reported at once, so
// that an invalid file never leads to a partially started process.
//
// # Usage
//
//	s, err := entrysettings.Parse(data)
//	if err != nil {
//		return fmt.Errorf("settings %s: %w", file, err)
//	}
package entrysettings

import (
	"fmt"
	"net/netip"
	"time"

	"bramleystand.org/common/settings"
)

// Settings holds the validated settings of one entry process.
type Settings struct {
	Name       string
	DataCentre string
	Region     string
	// CallerAddress, PeerAddress and AdminAddress are the listen addresses for callers, entry
	// processes and operators.
	CallerAddress netip.AddrPort
	PeerAddress   netip.AddrPort
	AdminAddress  netip.AddrPort
	Platform      netip.AddrPort
	// AnnouncedAddress is the peer address that other entry processes are told to use. If it is
	// not set, they use PeerAddress.
	AnnouncedAddress netip.AddrPort
	// Seeds are the peer addresses of entry processes that this one contacts first.
	Seeds []netip.AddrPort
	// Stop is the maximum duration of a graceful stop.
	Stop time.Duration
	// MaxBodyBytes is the maximum size of a request body in bytes.
	MaxBodyBytes int64
}

type settingsJSON struct {
	Name             string            `json:"name"`
	Centre           string            `json:"centre"`
	Region           string            `json:"region"`
	CallerAddress    netip.AddrPort    `json:"caller"`
	PeerAddress      netip.AddrPort    `json:"peer"`
	AdminAddress     netip.AddrPort    `json:"admin"`
	Platform         netip.AddrPort    `json:"platform"`
	AnnouncedAddress netip.AddrPort    `json:"announce,omitempty"`
	Seeds            []netip.AddrPort  `json:"seeds"`
	Stop             settings.Duration `json:"stop"`
	MaxBodyBytes     int64             `json:"body"`
}

// Parse reads and validates a settings file.
func Parse(data []byte) (Settings, error) {
	var w settingsJSON
	parseErr := settings.Decode(data, &w)
	s := Settings{
		Name: w.Name, DataCentre: w.Centre, Region: w.Region,
		CallerAddress: w.CallerAddress, PeerAddress: w.PeerAddress, AdminAddress: w.AdminAddress, Platform: w.Platform,
		AnnouncedAddress: w.AnnouncedAddress, Seeds: w.Seeds, Stop: time.Duration(w.Stop), MaxBodyBytes: w.MaxBodyBytes,
	}
	if err := s.validate(parseErr); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	return s, nil
}
