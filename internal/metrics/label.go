package metrics

import "strings"

// label is a name-value pair that distinguishes the metrics of a family.
type label struct{ name, value string }

// series returns the name of a metric with its labels, in the text format.
func series(f *Family, labels ...label) string {
	if len(labels) == 0 {
		return f.Name
	}
	parts := make([]string, 0, len(labels))
	for _, l := range labels {
		parts = append(parts, l.name+`="`+escape(l.value)+`"`)
	}
	return f.Name + "{" + strings.Join(parts, ",") + "}"
}

func escape(text string) string {
	return strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`).Replace(text)
}
