package command

import (
	"cmp"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/samber/lo"

	"endivespring/internal/event"
)

// requestTrace holds the events of one request from several event logs, ordered
// by the time of each line.
type requestTrace struct {
	Request string       `json:"request"`
	Events  []event.Line `json:"events"`
}

// readRequestTrace reads the events of a request. It returns an error if no file
// has any.
func readRequestTrace(request string, files []string) (*requestTrace, error) {
	t := &requestTrace{Request: request}
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, eris.Wrap(err, "read log")
		}
		lines, err := event.ReadLines(file, func(l *event.Line) bool { return l.Fields["request"] == request })
		_ = file.Close()
		if err != nil {
			return nil, eris.Wrapf(err, "file %s", name)
		}
		t.Events = append(t.Events, lines...)
	}
	if len(t.Events) == 0 {
		return nil, eris.Errorf("no event of request %q in %s", request, strings.Join(files, ", "))
	}
	slices.SortStableFunc(t.Events, func(a, b event.Line) int { return a.Time.Compare(b.Time) })
	return t, nil
}

func (t *requestTrace) print(w io.Writer) {
	first := t.Events[0].Time
	fmt.Fprintf(w, "request %s, first seen %s\n", t.Request, first.Format("2006-01-02 15:04:05.000 MST"))
	for _, line := range t.Events {
		fmt.Fprintf(w, "  +%-8s %s: %s (%s)\n", line.Time.Sub(first), line.Process, eventMeaning(&line), fieldList(&line))
	}
	if !slices.ContainsFunc(t.Events, func(l event.Line) bool { return l.Number == event.RequestFinished.Number }) {
		fmt.Fprintln(w, "  no answer to the caller in these logs")
	}
}

// eventMeaning returns the meaning of an event in the catalogue, or its name if
// this build does not have the event.
func eventMeaning(line *event.Line) string {
	definition, ok := lo.Find(event.Catalogue(), func(d *event.Definition) bool { return d.Number == line.Number })
	if !ok {
		return line.Name
	}
	return strings.TrimSuffix(definition.Meaning, ".")
}

// fieldList returns the names and values of the fields that are not empty, sorted
// by name and without the request's ID.
func fieldList(line *event.Line) string {
	var parts []string
	for name, value := range line.Fields {
		if text := fmt.Sprint(value); name != "request" && text != "" {
			parts = append(parts, name+" "+text)
		}
	}
	slices.SortFunc(parts, func(a, b string) int { return cmp.Compare(a, b) })
	return strings.Join(parts, ", ")
}
