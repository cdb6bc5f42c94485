package entrysettings

import (
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"bramleystand.org/common/configuration"
	"bramleystand.org/common/settings"
)

// Limits of the settings.
const (
	minStop = time.Second
	maxStop = 10 * time.Minute
	minBody = 1 << 10
	maxBody = 1 << 32
)

// validate checks all values. A value that the parser has rejected is left out here, because it is zero.
func (s *Settings) validate(parsed error) error {
	rejected := fields(parsed)
	problems := []error{parsed}
	check := func(field string, allowed bool, value any, rule string) {
		if !allowed && !rejected[field] {
			problems = append(problems, settings.Reject(field, value, rule))
		}
	}
	for field, v := range map[string]string{"name": s.Name, "centre": s.DataCentre, "region": s.Region} {
		check(field, configuration.ValidName(v), strconv.Quote(v), configuration.NameRule)
	}
	listen := map[netip.AddrPort]string{}
	for _, l := range []struct {
		field   string
		address netip.AddrPort
	}{{"caller", s.Caller}, {"peer", s.Peer}, {"admin", s.Admin}} {
		check(l.field, l.address.Port() != 0, l.address, "an IP address with a port other than 0")
		other := listen[l.address]
		check(l.field, other == "", l.address, "an address other than that of "+other)
		if l.address.IsValid() {
			listen[l.address] = l.field
		}
	}
	// Others connect to the peer address as announced, so it must name one VM.
	check("peer", !s.Peer.Addr().IsUnspecified(), s.Peer, "an address at which other VMs reach this one")
	if s.Announce != (netip.AddrPort{}) {
		check("announce", isTarget(s.Announce), s.Announce, "an IP address and port at which other VMs reach this one")
		other := listen[s.Announce]
		check("announce", other == "" || other == "peer", s.Announce, "an address other than that of "+other)
	}
	check("platform", isTarget(s.Platform), s.Platform, "the IP address and port of the platform")
	for i, a := range s.Seeds {
		check(fmt.Sprintf("seeds[%d]", i), isTarget(a), a, "the IP address and port of an entry process")
	}
	check("stop", s.Stop >= minStop && s.Stop <= maxStop, s.Stop, fmt.Sprintf("%s to %s", minStop, maxStop))
	check("body", s.Body >= minBody && s.Body <= maxBody, s.Body, fmt.Sprintf("%d to %d bytes", minBody, int64(maxBody)))
	return errors.Join(problems...)
}

// isTarget reports whether a connection can be opened to the address.
func isTarget(a netip.AddrPort) bool {
	return a.IsValid() && a.Port() != 0 && !a.Addr().IsUnspecified()
}

// fields returns the fields that an error of the parser names.
func fields(err error) map[string]bool {
	named := map[string]bool{}
	var one *settings.Error
	if errors.As(err, &one) {
		named[one.Field] = true
	}
	if all, ok := err.(interface{ Unwrap() []error }); ok {
		for _, e := range all.Unwrap() {
			for field := range fields(e) {
				named[field] = true
			}
		}
	}
	return named
}
