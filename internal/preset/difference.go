package preset

import (
	"fmt"
	"reflect"

	"endivespring/internal/settings"
)

// Difference is a field whose value differs between two presets.
type Difference struct {
	// Field is the JSON path of the field. Elements of lists are identified by
	// name, as in services[pay].queueLimit.
	Field string `json:"field"`
	// Before and After are the values in text form; empty if that preset lacks
	// the field.
	Before string `json:"before"`
	After  string `json:"after"`
}

// String returns the difference as one line: + for an added, - for a removed
// and ~ for a changed field.
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

// Diff returns the differences between two presets: changed and removed fields
// in the order of before, then added ones in the order of after.
func Diff(before, after *File) []Difference {
	valuesBefore, order := map[string]string{}, []string{}
	visitFields("", reflect.ValueOf(*before), func(field, value string) {
		valuesBefore[field] = value
		order = append(order, field)
	})
	added, valuesAfter := []Difference{}, map[string]string{}
	visitFields("", reflect.ValueOf(*after), func(field, value string) {
		valuesAfter[field] = value
		if _, ok := valuesBefore[field]; !ok {
			added = append(added, Difference{Field: field, After: value})
		}
	})
	differences := []Difference{}
	for _, field := range order {
		if valuesBefore[field] != valuesAfter[field] {
			differences = append(differences, Difference{Field: field, Before: valuesBefore[field], After: valuesAfter[field]})
		}
	}
	return append(differences, added...)
}

// visitFields calls visit with the JSON path and the text of every scalar field
// below a value. Elements of a slice need a field Name.
func visitFields(path string, value reflect.Value, visit func(field, text string)) {
	switch value.Kind() {
	case reflect.Struct:
		for i := range value.NumField() {
			visitFields(joinPath(path, value.Type().Field(i).Tag.Get("json")), value.Field(i), visit)
		}
	case reflect.Slice:
		for i := range value.Len() {
			element := value.Index(i)
			visitFields(path+"["+element.FieldByName("Name").String()+"]", element, visit)
		}
	default:
		visit(path, formatValue(value))
	}
}

func formatValue(value reflect.Value) string {
	if duration, ok := value.Interface().(settings.Duration); ok {
		return duration.Value().String()
	}
	return fmt.Sprint(value.Interface())
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
