package soak

import (
	"os"

	"github.com/rotisserie/eris"
	"github.com/wcharczuk/go-chart/v2"
	"github.com/wcharczuk/go-chart/v2/drawing"
)

const (
	plotWidth  = 1200 // pixels
	plotHeight = 500  // pixels
)

// plot writes an SVG chart of the requests served, refused and unknown in each
// second, annotated with the faults.
func (r *Report) plot(path string) error {
	if len(r.Seconds) < 2 { // a line needs two points
		return nil
	}
	line := func(name string, colour drawing.Color, value func(SecondCounts) int) chart.ContinuousSeries {
		s := chart.ContinuousSeries{Name: name, Style: chart.Style{StrokeColor: colour, StrokeWidth: 2}}
		for i, second := range r.Seconds {
			s.XValues, s.YValues = append(s.XValues, float64(i)), append(s.YValues, float64(value(second)))
		}
		return s
	}
	marks := chart.AnnotationSeries{Style: chart.Style{FontSize: 7}}
	for n, i := range r.Injected {
		marks.Annotations = append(marks.Annotations, chart.Value2{
			XValue: i.Begun.Sub(r.Start).Seconds(), YValue: float64(1 + n*7%int(max(8, r.Plan.Rate))), Label: string(i.Kind) + " " + i.Target,
		})
	}
	graph := chart.Chart{
		Width: plotWidth, Height: plotHeight, XAxis: chart.XAxis{Name: "second"}, YAxis: chart.YAxis{Name: "requests"},
		Series: []chart.Series{
			line("served", chart.ColorGreen, func(s SecondCounts) int { return s.Served }),
			line("refused", chart.ColorOrange, func(s SecondCounts) int { return s.Refused }),
			line("unknown", chart.ColorRed, func(s SecondCounts) int { return s.Unknown }),
			marks,
		},
	}
	graph.Elements = []chart.Renderable{chart.Legend(&graph)}
	file, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "create plot")
	}
	defer func() { _ = file.Close() }()
	return eris.Wrap(graph.Render(chart.SVG, file), "draw plot")
}
