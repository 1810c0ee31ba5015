package controlnode

import (
	"strings"

	"endivespring/internal/event"
)

// Reload takes the settings that may change while the process runs: which
// control processes may know the others. Other changes count from the next
// start on. Settings that are not valid change nothing.
func (n *Node) Reload() {
	s, err := n.source.Read()
	if err != nil {
		n.events.Record(event.SettingsRefused, event.F("cause", err))
		return
	}
	contacts := s.Discovery.Contacts()
	n.events.Record(event.SettingsReloaded, event.F("control", strings.Join(contacts, ", ")))
	_ = n.contacts.Put(n.group.Context(), contacts)
}
