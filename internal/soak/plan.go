package soak

import (
	"strconv"

	"endivespring/internal/settings"
)

// Plan describes one run: the fleet, the workload and the faults. The same plan
// injects the same faults at the same times.
type Plan struct {
	Seed            int64             `json:"seed" min:"0" max:"9007199254740991" doc:"Seed of the faults and of the workload."`
	Length          settings.Duration `json:"length" default:"20s" min:"1s" max:"1h" doc:"How long requests are sent."`
	Controls        int               `json:"controls" default:"3" min:"1" max:"7" doc:"Control processes; an odd number."`
	Routers         int               `json:"routers" default:"6" min:"1" max:"150" doc:"Routers, each with one upstream."`
	Rate            float64           `json:"rate" default:"150" min:"1" max:"5000" doc:"Requests a second."`
	ClockDiskFaults bool              `json:"trial" doc:"Processes are of a build with the tag faults, with fault injection for clocks and disks."`
	Faults          []Fault           `json:"faults" doc:"Faults and planned operations."`
}

// Check reports an even number of control processes and faults whose target doesn't
// exist or doesn't suit their kind.
func (p *Plan) Check() settings.Problems {
	var problems settings.Problems
	if p.Controls%2 == 0 {
		problems = append(problems, settings.Problem{Field: "controls", Value: p.Controls, Message: "must be odd"})
	}
	topology := newTopology(p)
	for i := range p.Faults {
		field := "faults[" + strconv.Itoa(i) + "]."
		if f := &p.Faults[i]; !topology.valid(f) {
			problems = append(problems, settings.Problem{Field: field + "target", Value: f.Target, Message: "is not a target that " + strconv.Quote(string(f.Kind)) + " applies to"})
		}
	}
	return problems
}
