// Package routes matches a request to a route, and selects one of the services
// among which the route is split.
package routes

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"

	"endivespring/internal/fleet"
)

// Table holds the routes of a preset by host, with the longest prefix first. It is
// owned by one duty.
type Table struct {
	hosts map[string][]*Entry
}

// NewTable returns the table of a preset, or an empty one if the preset is nil. Routes
// keep the state that they have in the earlier table, which may be nil. A route whose
// targets or weights are new starts at a random point of its rotation.
func NewTable(p *fleet.Preset, earlier *Table, random *rand.Rand) *Table {
	t := &Table{hosts: map[string][]*Entry{}}
	if p == nil {
		return t
	}
	previous := earlier.byName()
	for i := range p.Routes {
		r := &p.Routes[i]
		entry := &Entry{Route: r}
		if before := previous[r.Name]; before != nil {
			entry.maxTimeout = before.maxTimeout
			if slices.Equal(before.Route.Targets, r.Targets) {
				entry.credits = before.credits
			}
		}
		if entry.credits == nil {
			entry.startRotation(random)
		}
		t.hosts[r.Host] = append(t.hosts[r.Host], entry)
	}
	for _, entries := range t.hosts {
		slices.SortFunc(entries, func(a, b *Entry) int {
			return cmp.Or(cmp.Compare(len(b.Route.Prefix), len(a.Route.Prefix)), cmp.Compare(a.Route.Prefix, b.Route.Prefix))
		})
	}
	return t
}

// byName indexes the entries by the name of their route. A nil table has none.
func (t *Table) byName() map[string]*Entry {
	entries := map[string]*Entry{}
	if t == nil {
		return entries
	}
	for _, list := range t.hosts {
		for _, entry := range list {
			entries[entry.Route.Name] = entry
		}
	}
	return entries
}

// Match returns the entry of the route with the longest matching prefix of the path
// among those of the host, or nil.
func (t *Table) Match(host, path string) *Entry {
	for _, entry := range t.hosts[host] {
		if strings.HasPrefix(path, entry.Route.Prefix) {
			return entry
		}
	}
	return nil
}
