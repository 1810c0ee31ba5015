// Package preset reads preset files.
package preset

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/samber/lo"

	"endivespring/internal/fleet"
	"endivespring/internal/settings"
)

// File is a preset as its file writes it.
type File struct {
	Name     string    `json:"name" required:"true" kind:"name" doc:"Name shown to operators."`
	Services []Service `json:"services" required:"true" min:"1" doc:"All services of the fleet."`
}

// ReadFile reads and checks a preset file.
func ReadFile(path string) (*File, error) {
	var file File
	if err := settings.Read(path, &file); err != nil {
		return nil, err
	}
	return &file, nil
}

// Read reads and checks a preset file and returns the preset.
func Read(path string) (*fleet.Preset, error) {
	file, err := ReadFile(path)
	if err != nil {
		return nil, err
	}
	return file.Preset(), nil
}

// Parse checks the contents of a preset file, named path in problems.
func Parse(path string, data []byte) (*fleet.Preset, error) {
	var file File
	if err := settings.Parse(path, data, &file); err != nil {
		return nil, err
	}
	return file.Preset(), nil
}

// Check reports problems across fields.
func (f *File) Check() settings.Problems {
	var problems settings.Problems
	names := lo.Map(f.Services, func(s Service, _ int) string { return s.Name })
	for _, duplicate := range lo.FindDuplicates(names) {
		problems = append(problems, settings.Problem{Field: "services", Value: duplicate, Message: "name is used twice"})
	}
	for i, service := range f.Services {
		problems = append(problems, service.problems("services["+strconv.Itoa(i)+"]")...)
	}
	return problems
}

// Preset returns the checked preset with sorted services and operations.
func (f *File) Preset() *fleet.Preset {
	p := &fleet.Preset{Name: f.Name, Services: lo.Map(f.Services, func(s Service, _ int) fleet.Service { return s.service() })}
	slices.SortFunc(p.Services, func(a, b fleet.Service) int { return cmp.Compare(a.Name, b.Name) })
	return p
}

func (s Service) service() fleet.Service {
	out := fleet.Service{
		Name: s.Name, Keyed: s.Keyed, Shards: uint32(s.Shards),
		HedgeQuantile: s.HedgeQuantile, HedgeBudget: s.HedgeBudget, RetryBudget: s.RetryBudget,
		QueueLimit: s.QueueLimit, RecordWindow: s.RecordWindow.Value(),
	}
	for _, o := range s.Operations {
		out.Operations = append(out.Operations, fleet.Operation{Name: o.Name, Idempotent: o.Idempotent, Deadline: o.Deadline.Value()})
	}
	slices.SortFunc(out.Operations, func(a, b fleet.Operation) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// NewFile returns the file form of a preset.
func NewFile(p *fleet.Preset) *File {
	return &File{Name: p.Name, Services: lo.Map(p.Services, func(s fleet.Service, _ int) Service { return newService(s) })}
}
