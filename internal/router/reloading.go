package router

import (
	"strings"

	"endivespring/internal/event"
)

// Reload takes the settings that may change while the router runs: where
// control is found. Other changes count from the next start on. Settings that
// are not valid change nothing.
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
