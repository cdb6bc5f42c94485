// Package settings defines the command line of backendd.
//
// # Usage
//
//	var s settings.Settings
//	kong.Parse(&s)
package settings

import (
	"fmt"
	"net/netip"
	"time"
)

// Settings describes the simulated backend server.
type Settings struct {
	Listen      netip.AddrPort `help:"Address for requests; port 0 picks a free one." required:""`
	Admin       netip.AddrPort `help:"Second address for control requests; no fault affects it." default:"127.0.0.1:0"`
	Name        string         `help:"Name of the server." required:""`
	Slots       int            `help:"Concurrent executions." default:"6"`
	Connections int            `help:"Maximum number of open connections." default:"120"`
	Fenced      bool           `help:"Require a grant for every request." default:"true" negatable:""`
	DialCost    time.Duration  `help:"Time before the first byte of a new connection is read." default:"1ms"`
	ProbeCost   time.Duration  `help:"Time that a probe takes." default:"6ms"`

	Confirmation time.Duration `help:"Mean service time of confirmations." default:"20ms"`
	Lookup       time.Duration `help:"Mean service time of lookups." default:"5ms"`
	Upload       time.Duration `help:"Mean service time of uploads." default:"400ms"`

	Cold       time.Duration `help:"Warm-up time after the start; executions take three times as long at first, then ever less." default:"10s"`
	Seed       uint64        `help:"Seed of the random service times." default:"1"`
	Stop       time.Duration `help:"Longest time to finish running requests after SIGTERM." default:"10s"`
	Executions int           `help:"Minimum number of newest execution records that are kept." default:"500000"`
}

// Validate returns an error that names the first invalid setting, its value and what
// is allowed.
func (s *Settings) Validate() error {
	for _, c := range []struct {
		name  string
		value int
	}{{"slots", s.Slots}, {"connections", s.Connections}, {"executions", s.Executions}} {
		if c.value < 1 {
			return fmt.Errorf("settings: %s: %d is not allowed, allowed: 1 or more", c.name, c.value)
		}
	}
	for _, c := range []struct {
		name  string
		value time.Duration
	}{
		{"dial-cost", s.DialCost},
		{"probe-cost", s.ProbeCost},
		{"confirmation", s.Confirmation},
		{"lookup", s.Lookup},
		{"upload", s.Upload},
		{"cold", s.Cold},
		{"stop", s.Stop},
	} {
		if c.value < 0 {
			return fmt.Errorf("settings: %s: %s is not allowed, allowed: 0s or more", c.name, c.value)
		}
	}
	return nil
}
