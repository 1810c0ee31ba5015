package preset

import (
	"fmt"
	"reflect"

	"endivespring/internal/settings"
)

// Difference is one field that two presets give differently.
type Difference struct {
	// Field is the path of the field; services and operations go by name.
	Field string `json:"field"`
	// Before and After are the values; empty if the preset lacks the field.
	Before string `json:"before"`
	After  string `json:"after"`
}

// String returns field, value before and value after in one line.
func (d Difference) String() string {
	switch {
	case d.Before == "":
		return fmt.Sprintf("+ %s = %s", d.Field, d.After)
	case d.After == "":
		return fmt.Sprintf("- %s = %s", d.Field, d.Before)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", d.Field, d.Before, d.After)
	}
}

// Diff returns what differs between two presets, in the order of the fields of
// before, then of what only after has.
func Diff(before, after *File) []Difference {
	old, order := map[string]string{}, []string{}
	collect("", reflect.ValueOf(*before), func(field, value string) {
		old[field] = value
		order = append(order, field)
	})
	added, present := []Difference{}, map[string]string{}
	collect("", reflect.ValueOf(*after), func(field, value string) {
		present[field] = value
		if _, ok := old[field]; !ok {
			added = append(added, Difference{Field: field, After: value})
		}
	})
	out := []Difference{}
	for _, field := range order {
		if old[field] != present[field] {
			out = append(out, Difference{Field: field, Before: old[field], After: present[field]})
		}
	}
	return append(out, added...)
}

// collect visits every plain field below a value under its path.
func collect(path string, value reflect.Value, visit func(field, text string)) {
	switch value.Kind() {
	case reflect.Struct:
		for i := range value.NumField() {
			collect(join(path, value.Type().Field(i).Tag.Get("json")), value.Field(i), visit)
		}
	case reflect.Slice:
		for i := range value.Len() {
			item := value.Index(i)
			collect(path+"["+item.FieldByName("Name").String()+"]", item, visit)
		}
	default:
		visit(path, text(value))
	}
}

func text(value reflect.Value) string {
	if span, ok := value.Interface().(settings.Duration); ok {
		return span.Value().String()
	}
	return fmt.Sprint(value.Interface())
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
