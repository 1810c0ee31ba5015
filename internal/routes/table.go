// Package routes finds the route of a request, and the service among those
// that share it.
package routes

import (
	"cmp"
	"slices"
	"strings"

	"endivespring/internal/fleet"
)

// Table holds the routes of a preset by host, those with the longest prefix
// first. It is owned by one duty.
type Table struct {
	hosts map[string][]*Entry
}

// NewTable returns the table of a preset, or an empty one for nil. What an
// earlier table knew of its routes is kept.
func NewTable(p *fleet.Preset, earlier *Table) *Table {
	t := &Table{hosts: map[string][]*Entry{}}
	if p == nil {
		return t
	}
	known := earlier.byName()
	for i := range p.Routes {
		r := &p.Routes[i]
		entry := &Entry{Route: r}
		if old := known[r.Name]; old != nil {
			entry.turns, entry.longest = old.turns, old.longest
		}
		if len(entry.turns) != len(r.Targets) {
			entry.turns = make([]int, len(r.Targets))
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

// byName returns every entry by the name of its route.
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

// Match returns the route of a host with the longest prefix of a path, or nil.
func (t *Table) Match(host, path string) *Entry {
	for _, entry := range t.hosts[host] {
		if strings.HasPrefix(path, entry.Route.Prefix) {
			return entry
		}
	}
	return nil
}
