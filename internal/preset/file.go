// Package preset reads and validates preset files, converts presets to their
// file form and compares them.
package preset

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/samber/lo"

	"endivespring/internal/fleet"
	"endivespring/internal/settings"
)

// File is the content of a preset file.
type File struct {
	Name     string    `json:"name" required:"true" kind:"name" doc:"Name of the preset, shown to operators."`
	Services []Service `json:"services" required:"true" min:"1" doc:"All services of the fleet."`
	Routes   []Route   `json:"routes" doc:"Routes by host and path prefix; none if callers name services themselves."`
	Limits   Limits    `json:"limits" doc:"Limits for the requests and connections of callers."`
}

// ReadFile reads and validates a preset file.
func ReadFile(path string) (*File, error) {
	var file File
	if err := settings.Read(path, &file); err != nil {
		return nil, err
	}
	return &file, nil
}

// Read reads and validates a preset file and returns the preset.
func Read(path string) (*fleet.Preset, error) {
	file, err := ReadFile(path)
	if err != nil {
		return nil, err
	}
	return file.Preset(), nil
}

// Parse validates the contents of a preset file and returns the preset. The
// path only identifies the file in error messages.
func Parse(path string, data []byte) (*fleet.Preset, error) {
	var file File
	if err := settings.Parse(path, data, &file); err != nil {
		return nil, err
	}
	return file.Preset(), nil
}

// Check validates what the struct tags cannot express: unique names, and fields
// that depend on each other. settings.Parse calls it.
func (f *File) Check() settings.Problems {
	var problems settings.Problems
	names := lo.Map(f.Services, func(s Service, _ int) string { return s.Name })
	for _, duplicate := range lo.FindDuplicates(names) {
		problems = append(problems, settings.Problem{Field: "services", Value: duplicate, Message: "name is used twice"})
	}
	for i, service := range f.Services {
		path := "services[" + strconv.Itoa(i) + "]"
		problems = append(problems, service.validate(path)...)
		if len(service.Operations) == 0 && !f.hasRouteTo(service.Name) {
			problems = append(problems, settings.Problem{Field: path + ".operations", Message: "missing, and no route leads to the service"})
		}
	}
	if problem := f.Preset().Problem(); problem != "" {
		problems = append(problems, settings.Problem{Field: "routes", Message: problem})
	}
	return problems
}

// hasRouteTo reports whether a route has the service as a target.
func (f *File) hasRouteTo(service string) bool {
	return lo.ContainsBy(f.Routes, func(r Route) bool {
		return lo.ContainsBy(r.Targets, func(t Target) bool { return t.Name == service })
	})
}

// Preset returns the preset of a validated file, with services, operations and
// routes sorted by name.
func (f *File) Preset() *fleet.Preset {
	p := &fleet.Preset{Name: f.Name, Limits: f.Limits.limits(), Services: lo.Map(f.Services, func(s Service, _ int) fleet.Service { return s.service() })}
	slices.SortFunc(p.Services, func(a, b fleet.Service) int { return cmp.Compare(a.Name, b.Name) })
	for _, r := range f.Routes {
		p.Routes = append(p.Routes, r.route())
	}
	slices.SortFunc(p.Routes, func(a, b fleet.Route) int { return cmp.Compare(a.Name, b.Name) })
	return p
}

func (s Service) service() fleet.Service {
	service := fleet.Service{
		Name: s.Name, Keyed: s.Keyed, Ranged: s.Ranged, Shards: uint32(s.Shards), Profile: s.Upstreams.profile(),
		HedgeQuantile: s.HedgeQuantile, HedgeBudget: s.HedgeBudget, RetryBudget: s.RetryBudget,
		QueueLimit: s.QueueLimit, RecordWindow: s.RecordWindow.Value(),
	}
	if s.Ranged || len(s.Operations) == 0 {
		service.Shards = 0
	}
	for _, o := range s.Operations {
		service.Operations = append(service.Operations, fleet.Operation{Name: o.Name, Idempotent: o.Idempotent, Deadline: o.Deadline.Value()})
	}
	slices.SortFunc(service.Operations, func(a, b fleet.Operation) int { return cmp.Compare(a.Name, b.Name) })
	return service
}

// NewFile returns the file form of a preset. A preset without a name gets one
// made from its number.
func NewFile(p *fleet.Preset) *File {
	return &File{
		Name: cmp.Or(p.Name, "number-"+strconv.FormatUint(p.Number, 10)), Limits: newLimits(p.Limits),
		Services: lo.Map(p.Services, func(s fleet.Service, _ int) Service { return newService(s) }),
		Routes:   lo.Map(p.Routes, func(r fleet.Route, _ int) Route { return newRoute(r) }),
	}
}
