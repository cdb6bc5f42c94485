package fleet

import (
	"fmt"
	"net/netip"

	"bramleystand.org/replay/internal/relay"
)

// relay starts a relay between the entry VMs, and between them and the platform.
func (f *Fleet) relay() error {
	f.Relay = relay.New()
	var err error
	if f.entryPlatformAddress, err = f.Relay.Open(f.Address); err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	for _, e := range f.Entries {
		if e.AnnouncedAddress, err = f.Relay.Open(e.PeerAddress); err != nil {
			return fmt.Errorf("%s: %w", e.Name, err)
		}
	}
	return nil
}

// entryLoopbackAddress returns the loopback address of an entry VM. The relay identifies VMs
// by their IP addresses, so each has its own.
func entryLoopbackAddress(centre, entry int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, 0, byte(10 + centre), byte(1 + entry)})
}
