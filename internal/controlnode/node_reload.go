package controlnode

import (
	"strings"

	"endivespring/internal/event"
)

// Reload rereads the settings and applies the part that may change at run time:
// the seed addresses of discovery. Other changes take effect at the next start.
// Invalid settings change nothing.
func (n *Node) Reload() {
	s, err := n.source.Read()
	if err != nil {
		n.events.Record(event.SettingsRefused, event.F("cause", err))
		return
	}
	addresses := s.Discovery.SeedAddresses()
	n.events.Record(event.SettingsReloaded, event.F("control", strings.Join(addresses, ", ")))
	_ = n.seedAddresses.Put(n.group.Context(), addresses)
}
