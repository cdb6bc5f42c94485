// Package entrysettings parses the settings file of the entry process. The process uses it at
// its start, and operators use it to check a file before they install it.
//
// The whole file is checked before the process starts, and all errors are
// reported at once, so that an invalid file never leads to a partially started process.
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
	// Caller, Peer and Admin are the listen addresses for callers, entry processes and operators.
	Caller   netip.AddrPort
	Peer     netip.AddrPort
	Admin    netip.AddrPort
	Platform netip.AddrPort
	// Announce is the peer address that other entry processes are told to use; if it is not set, it is Peer.
	Announce netip.AddrPort
	// Seeds are the peer addresses of entry processes that this one contacts first.
	Seeds []netip.AddrPort
	// Stop is the maximum duration of a graceful stop.
	Stop time.Duration
	// Body is the maximum size of a request body in bytes.
	Body int64
}

type settingsJSON struct {
	Name     string            `json:"name"`
	Centre   string            `json:"centre"`
	Region   string            `json:"region"`
	Caller   netip.AddrPort    `json:"caller"`
	Peer     netip.AddrPort    `json:"peer"`
	Admin    netip.AddrPort    `json:"admin"`
	Platform netip.AddrPort    `json:"platform"`
	Announce netip.AddrPort    `json:"announce,omitempty"`
	Seeds    []netip.AddrPort  `json:"seeds"`
	Stop     settings.Duration `json:"stop"`
	Body     int64             `json:"body"`
}

// Parse reads and validates a settings file.
func Parse(data []byte) (Settings, error) {
	var w settingsJSON
	parseErr := settings.Decode(data, &w)
	s := Settings{
		Name: w.Name, DataCentre: w.Centre, Region: w.Region,
		Caller: w.Caller, Peer: w.Peer, Admin: w.Admin, Platform: w.Platform,
		Announce: w.Announce, Seeds: w.Seeds, Stop: time.Duration(w.Stop), Body: w.Body,
	}
	if err := s.validate(parseErr); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	return s, nil
}
