package gatewaysettings

import (
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"bramleystand.org/common/settings"
)

// Limits of the settings.
const (
	minStop      = time.Second
	maxStop      = 10 * time.Minute
	minMemory    = 32 * megabyte
	maxProcesses = 10_000
	maxCores     = 10_000
	// A line takes some 300 bytes; below 10 lines a second even rare events would be left out.
	minLines = 10
	maxLines = 100_000
	minBytes = 4 << 10
	maxBytes = 64 << 20
)

// validate checks all values. If the parser has rejected the document, its errors come first
// and the checks of values that it left empty are passed over.
func (s *Settings) validate(parsed error) error {
	if parsed != nil {
		return parsed
	}
	var problems []error
	check := func(field string, allowed bool, value any, rule string) {
		if !allowed {
			problems = append(problems, settings.Reject(field, value, rule))
		}
	}
	check("name", s.Name != "", strconv.Quote(s.Name), "a name")
	check("centre", s.DataCentre != "", strconv.Quote(s.DataCentre), "a name")
	used := map[netip.AddrPort]string{}
	for _, l := range []struct {
		field   string
		address netip.AddrPort
	}{{"client", s.Client}, {"ready", s.Ready}, {"peer", s.Peer}, {"admin", s.Admin}} {
		check(l.field, l.address.IsValid() && l.address.Port() != 0, l.address, "an IP address with a port other than 0")
		check(l.field, used[l.address] == "", l.address, "an address other than that of "+used[l.address])
		used[l.address] = l.field
	}
	check("store", s.Store.IsValid() && s.Store.Port() != 0, s.Store, "the IP address and port of the store")
	for i, a := range s.Seeds {
		check(fmt.Sprintf("seeds[%d]", i), a.IsValid() && a.Port() != 0, a, "the IP address and port of an entry process")
	}
	check("stop", s.Stop >= minStop && s.Stop <= maxStop, s.Stop, fmt.Sprintf("%s to %s", minStop, maxStop))
	check("retries.share", s.Retries.Share >= 0 && s.Retries.Share <= 1, s.Retries.Share, "0 to 1")
	check("retries.slack", s.Retries.Slack >= 0, s.Retries.Slack, "0 or more")
	check("retries.processes", s.Retries.Processes >= 1 && s.Retries.Processes <= maxProcesses, s.Retries.Processes, fmt.Sprintf("1 to %d", maxProcesses))
	check("cores", s.Cores > 0 && s.Cores <= maxCores, s.Cores, fmt.Sprintf("a share and a speed whose product is above 0 and at most %d", maxCores))
	check("memory", s.Memory >= minMemory, s.Memory, fmt.Sprintf("%d MB or more", minMemory/megabyte))
	check("logs.lines", s.Logs.Lines >= minLines && s.Logs.Lines <= maxLines, s.Logs.Lines, fmt.Sprintf("%d to %d", minLines, maxLines))
	check("logs.bytes", s.Logs.Bytes >= minBytes && s.Logs.Bytes <= maxBytes, s.Logs.Bytes, fmt.Sprintf("%d to %d", minBytes, maxBytes))
	return errors.Join(problems...)
}
