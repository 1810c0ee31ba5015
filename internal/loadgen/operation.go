package loadgen

import (
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// Operation names an operation of a service and its weight in the mix.
type Operation struct {
	Service string
	Name    string
	// Weight is the share of requests relative to the other operations.
	Weight float64
}

// String returns service/operation.
func (o Operation) String() string { return o.Service + "/" + o.Name }

// ParseMix parses operations written as service/operation=weight and separated
// by commas. The default weight is 1.
func ParseMix(text string) ([]Operation, error) {
	var mix []Operation
	for _, part := range strings.Split(text, ",") {
		name, weight, weighted := strings.Cut(part, "=")
		service, operation, ok := strings.Cut(name, "/")
		if !ok || service == "" || operation == "" {
			return nil, eris.Errorf("%q must be service/operation=weight", part)
		}
		o := Operation{Service: service, Name: operation, Weight: 1}
		if weighted {
			value, err := strconv.ParseFloat(weight, 64)
			if err != nil || value <= 0 {
				return nil, eris.Errorf("weight %q must be a number above zero", weight)
			}
			o.Weight = value
		}
		mix = append(mix, o)
	}
	return mix, nil
}
