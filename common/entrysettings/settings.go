// Package entrysettings reads the settings of the entry process, for that process and for
// the operators' check of a file before it is installed.
//
// The whole file is checked before the process starts, and all errors are
// reported at once, so that a bad file never leads to a half-started process.
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

// Settings of one entry process.
type Settings struct {
	Name       string
	DataCentre string
	Region     string
	// Caller, Peer and Admin are the listen addresses for callers, entry processes and operators.
	Caller   netip.AddrPort
	Peer     netip.AddrPort
	Admin    netip.AddrPort
	Platform netip.AddrPort
	// Announce is the peer address that other members are told; if it is not set, they are told Peer.
	Announce netip.AddrPort
	// Seeds are the peer addresses of entry processes that are asked first.
	Seeds []netip.AddrPort
	// Stop is the longest time that a graceful stop may take.
	Stop time.Duration
	// Body is the largest request body in bytes.
	Body int64
}

type wire struct {
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
	var w wire
	parsed := settings.Decode(data, &w)
	s := Settings{
		Name: w.Name, DataCentre: w.Centre, Region: w.Region,
		Caller: w.Caller, Peer: w.Peer, Admin: w.Admin, Platform: w.Platform,
		Announce: w.Announce, Seeds: w.Seeds, Stop: time.Duration(w.Stop), Body: w.Body,
	}
	if err := s.validate(parsed); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	return s, nil
}
