package main

import (
	"encoding/json"
	"fmt"
	"strings"
)

// render fills in a settings template in the way of DEPLOY.md: values, JSON values and
// sections. Names inside a section are resolved in the entry first.
func render(text string, scopes ...any) string {
	var out strings.Builder
	for {
		before, rest, found := strings.Cut(text, "{{")
		out.WriteString(before)
		if !found {
			return out.String()
		}
		tag, after, _ := strings.Cut(rest, "}}")
		text = after
		switch {
		case strings.HasPrefix(tag, "#"), strings.HasPrefix(tag, "^"):
			name := tag[1:]
			body, tail := section(after, name)
			text = tail
			out.WriteString(renderSection(tag[0] == '^', body, lookup(name, scopes), scopes))
		default:
			out.WriteString(renderValue(tag, scopes))
		}
	}
}

// section splits a text at the end of the named section.
func section(text, name string) (body, tail string) {
	end := "{{/" + name + "}}"
	at := strings.Index(text, end)
	if at < 0 {
		panic("section " + name + " does not end")
	}
	return text[:at], text[at+len(end):]
}

func renderSection(inverted bool, body string, value any, scopes []any) string {
	present := value != nil && value != false
	if inverted {
		if present {
			return ""
		}
		return render(body, scopes...)
	}
	list, isList := value.([]any)
	if !isList {
		if !present {
			return ""
		}
		return render(body, append([]any{value}, scopes...)...)
	}
	var out strings.Builder
	for i, entry := range list {
		comma := ","
		if i == len(list)-1 {
			comma = ""
		}
		out.WriteString(render(strings.ReplaceAll(body, "{{,}}", comma), append([]any{entry}, scopes...)...))
	}
	return out.String()
}

func renderValue(tag string, scopes []any) string {
	name, asJSON := strings.CutSuffix(tag, "|json")
	value := lookup(name, scopes)
	if asJSON {
		data, _ := json.Marshal(value)
		return string(data)
	}
	switch v := value.(type) {
	case nil:
		return ""
	case float64:
		return strings.TrimSuffix(fmt.Sprintf("%v", v), ".0")
	default:
		return fmt.Sprint(v)
	}
}

// lookup resolves a dotted name in the innermost scope that has it.
func lookup(name string, scopes []any) any {
	if name == "." {
		return scopes[0]
	}
	for _, scope := range scopes {
		value, found := scope, true
		for _, part := range strings.Split(name, ".") {
			value, found = child(value, part)
			if !found {
				break
			}
		}
		if found {
			return value
		}
	}
	return nil
}

func child(value any, name string) (any, bool) {
	switch v := value.(type) {
	case map[string]any:
		c, ok := v[name]
		return c, ok
	case []any:
		for i := range v {
			if fmt.Sprint(i) == name {
				return v[i], true
			}
		}
	}
	return nil, false
}
