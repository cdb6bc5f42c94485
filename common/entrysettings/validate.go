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

// Bounds of the values.
const (
	minStop      = time.Second
	maxStop      = 10 * time.Minute
	minBodyLimit = 1 << 10
	maxBodyLimit = 1 << 32
)

// validate checks all values and adds the problems to the error of the parser. It skips fields
// that the parser has rejected, because their values are zero.
func (s *Settings) validate(parseErr error) error {
	rejected := rejectedFields(parseErr)
	problems := []error{parseErr}
	check := func(field string, allowed bool, value any, rule string) {
		if !allowed && !rejected[field] {
			problems = append(problems, settings.NewError(field, value, rule))
		}
	}
	for field, v := range map[string]string{"name": s.Name, "centre": s.DataCentre, "region": s.Region} {
		check(field, configuration.ValidName(v), strconv.Quote(v), configuration.NameRule)
	}
	fieldByAddress := map[netip.AddrPort]string{}
	for _, l := range []struct {
		field   string
		address netip.AddrPort
	}{{"caller", s.CallerAddress}, {"peer", s.PeerAddress}, {"admin", s.AdminAddress}} {
		check(l.field, l.address.Port() != 0, l.address, "an IP address with a port other than 0")
		otherField := fieldByAddress[l.address]
		check(l.field, otherField == "", l.address, "an address other than that of "+otherField)
		if l.address.IsValid() {
			fieldByAddress[l.address] = l.field
		}
	}
	// Other entry processes connect to the peer address that this one announces, so it must belong
	// to one VM and can't be unspecified.
	check("peer", !s.PeerAddress.Addr().IsUnspecified(), s.PeerAddress, "an address at which other VMs reach this one")
	if s.AnnouncedAddress != (netip.AddrPort{}) {
		check("announce", isDialable(s.AnnouncedAddress), s.AnnouncedAddress, "an IP address and port at which other VMs reach this one")
		otherField := fieldByAddress[s.AnnouncedAddress]
		check("announce", otherField == "" || otherField == "peer", s.AnnouncedAddress, "an address other than that of "+otherField)
	}
	check("platform", isDialable(s.Platform), s.Platform, "the IP address and port of the platform")
	for i, a := range s.Seeds {
		check(fmt.Sprintf("seeds[%d]", i), isDialable(a), a, "the IP address and port of an entry process")
	}
	check("stop", s.Stop >= minStop && s.Stop <= maxStop, s.Stop, fmt.Sprintf("%s to %s", minStop, maxStop))
	check("body", s.MaxBodyBytes >= minBodyLimit && s.MaxBodyBytes <= maxBodyLimit, s.MaxBodyBytes, fmt.Sprintf("%d to %d bytes", minBodyLimit, int64(maxBodyLimit)))
	return errors.Join(problems...)
}

// isDialable reports whether a connection can be opened to the address.
func isDialable(a netip.AddrPort) bool {
	return a.IsValid() && a.Port() != 0 && !a.Addr().IsUnspecified()
}

// rejectedFields returns the names of the fields in an error of the parser.
func rejectedFields(err error) map[string]bool {
	rejected := map[string]bool{}
	var fieldErr *settings.Error
	if errors.As(err, &fieldErr) {
		rejected[fieldErr.Field] = true
	}
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		for _, e := range joined.Unwrap() {
			for field := range rejectedFields(e) {
				rejected[field] = true
			}
		}
	}
	return rejected
}
