package router

import (
	"strings"

	"endivespring/internal/event"
)

// Reload rereads the settings and applies the addresses of the control processes,
// the only setting that can change while the router runs. Other changes take effect
// at the next start. Invalid settings are logged and change nothing.
func (n *Node) Reload() {
	s, err := n.source.Read()
	if err != nil {
		n.events.Record(event.SettingsRefused, event.F("cause", err))
		return
	}
	addresses := s.ControlAddresses()
	n.events.Record(event.SettingsReloaded, event.F("control", strings.Join(addresses, ", ")))
	_ = n.session.seeds.Put(n.group.Context(), addresses)
}
