package metrics

import (
	"fmt"
	"io"
	"slices"
	"strings"

	gometrics "github.com/rcrowley/go-metrics"
)

// summaryQuantiles are the quantiles exported for each summary.
var summaryQuantiles = []float64{0.5, 0.9, 0.99, 0.999}

// WriteText writes all metrics in the Prometheus text format, grouped by family.
// Write errors are ignored.
func (r *Registry) WriteText(w io.Writer) {
	values := map[string]any{}
	r.metrics.Each(func(name string, metric any) { values[name] = metric })
	names := make([]string, 0, len(values))
	for name := range values {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, family := range catalogue {
		first := true
		for _, name := range names {
			if base, _, _ := strings.Cut(name, "{"); base != family.Name {
				continue
			}
			if first {
				fmt.Fprintf(w, "# HELP %s %s\n# TYPE %s %s\n", family.Name, family.Help, family.Name, family.Kind)
				first = false
			}
			writeMetric(w, name, values[name])
		}
	}
}

func writeMetric(w io.Writer, name string, metric any) {
	switch m := metric.(type) {
	case gometrics.Counter:
		fmt.Fprintf(w, "%s %d\n", name, m.Count())
	case gometrics.Gauge:
		fmt.Fprintf(w, "%s %d\n", name, m.Value())
	case gometrics.Histogram:
		snapshot := m.Snapshot()
		for i, value := range snapshot.Percentiles(summaryQuantiles) {
			fmt.Fprintf(w, "%s{quantile=\"%g\"} %g\n", name, summaryQuantiles[i], value)
		}
		fmt.Fprintf(w, "%s_count %d\n", name, snapshot.Count())
	}
}
