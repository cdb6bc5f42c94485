package gatewaysettings

import (
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"bramleystand.org/common/settings"
)

// Bounds of the values.
const (
	minStop   = time.Second
	maxStop   = 10 * time.Minute
	minMemory = 32 * megabyte
	// minEvacuation leaves time for the request to reach all processes and for a move of keys.
	minEvacuation  = 500 * time.Millisecond
	maxEvacuation  = 10 * time.Minute
	maxProcesses   = 10_000
	maxCores       = 10_000
	maxDescriptors = 10_000_000
	// A line takes about 300 bytes. Below 10 lines per second even rare events would be left out.
	minLines = 10
	maxLines = 100_000
	minBytes = 4 << 10
	maxBytes = 64 << 20
)

// validate checks all values. If the parser has rejected any, only its errors are returned,
// because the values that it did not set would be rejected a second time.
func (s *Settings) validate(parseErr error) error {
	if parseErr != nil {
		return parseErr
	}
	var problems []error
	check := func(field string, allowed bool, value any, rule string) {
		if !allowed {
			problems = append(problems, settings.NewError(field, value, rule))
		}
	}
	check("name", s.Name != "", strconv.Quote(s.Name), "a name")
	check("centre", s.DataCentre != "", strconv.Quote(s.DataCentre), "a name")
	fieldByAddress := map[netip.AddrPort]string{}
	for _, l := range []struct {
		field   string
		address netip.AddrPort
	}{{"client", s.ClientAddress}, {"ready", s.ReadyAddress}, {"peer", s.PeerAddress}, {"admin", s.AdminAddress}} {
		check(l.field, l.address.IsValid() && l.address.Port() != 0, l.address, "an IP address with a port other than 0")
		check(l.field, fieldByAddress[l.address] == "", l.address, "an address other than that of "+fieldByAddress[l.address])
		fieldByAddress[l.address] = l.field
	}
	check("store", s.Store.IsValid() && s.Store.Port() != 0, s.Store, "the IP address and port of the store")
	for i, a := range s.Seeds {
		check(fmt.Sprintf("seeds[%d]", i), a.IsValid() && a.Port() != 0, a, "the IP address and port of an entry process")
	}
	check("stop", s.Stop >= minStop && s.Stop <= maxStop, s.Stop, fmt.Sprintf("%s to %s", minStop, maxStop))
	check("evacuate", s.Evacuation == 0 || s.Evacuation >= minEvacuation && s.Evacuation <= maxEvacuation, s.Evacuation, fmt.Sprintf("%s to %s", minEvacuation, maxEvacuation))
	check("retries.share", s.RetryBudget.Share >= 0 && s.RetryBudget.Share <= 1, s.RetryBudget.Share, "0 to 1")
	check("retries.slack", s.RetryBudget.Burst >= 0, s.RetryBudget.Burst, "0 or more")
	check("retries.processes", s.RetryBudget.Processes >= 1 && s.RetryBudget.Processes <= maxProcesses, s.RetryBudget.Processes, fmt.Sprintf("1 to %d", maxProcesses))
	check("cores", s.Cores > 0 && s.Cores <= maxCores, s.Cores, fmt.Sprintf("a share and a speed whose product is above 0 and at most %d", maxCores))
	check("memory", s.MemoryLimit >= minMemory, s.MemoryLimit, fmt.Sprintf("%d MB or more", minMemory/megabyte))
	check("descriptors", s.Descriptors >= 0 && s.Descriptors <= maxDescriptors, s.Descriptors, fmt.Sprintf("0 to %d", maxDescriptors))
	check("logs.lines", s.LogLimit.Lines >= minLines && s.LogLimit.Lines <= maxLines, s.LogLimit.Lines, fmt.Sprintf("%d to %d", minLines, maxLines))
	check("logs.bytes", s.LogLimit.Bytes >= minBytes && s.LogLimit.Bytes <= maxBytes, s.LogLimit.Bytes, fmt.Sprintf("%d to %d", minBytes, maxBytes))
	return errors.Join(problems...)
}
