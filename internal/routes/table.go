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

// NewTable returns the table of a preset, or an empty one for nil. Turns of
// routes that an earlier table had go on.
func NewTable(p *fleet.Preset, earlier *Table) *Table {
	t := &Table{hosts: map[string][]*Entry{}}
	if p == nil {
		return t
	}
	turns := earlier.turns()
	for i := range p.Routes {
		r := &p.Routes[i]
		entry := &Entry{Route: r, turns: turns[r.Name]}
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

// turns returns the turns of every route by its name.
func (t *Table) turns() map[string][]int {
	turns := map[string][]int{}
	if t == nil {
		return turns
	}
	for _, entries := range t.hosts {
		for _, entry := range entries {
			turns[entry.Route.Name] = entry.turns
		}
	}
	return turns
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
