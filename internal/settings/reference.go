package settings

import (
	"fmt"
	"io"
	"reflect"
	"strings"
)

// WriteReference writes a Markdown table of the fields of target, a settings
// struct, and of the structs nested in it.
func WriteReference(w io.Writer, title string, target any) {
	fmt.Fprintf(w, "## %s\n\n| field | type | default | bounds | meaning |\n| --- | --- | --- | --- | --- |\n", title)
	writeFields(w, "", reflect.TypeOf(target))
	fmt.Fprintln(w)
}

func writeFields(w io.Writer, prefix string, t reflect.Type) {
	for i := range t.NumField() {
		field := t.Field(i)
		path := joinPath(prefix, field.Tag.Get("json"))
		fmt.Fprintf(w, "| `%s` | %s | %s | %s | %s |\n", path, typeName(field.Type), defaultText(field.Type, field.Tag), bounds(field.Tag), field.Tag.Get("doc"))
		nested := field.Type
		if nested.Kind() == reflect.Slice {
			nested, path = nested.Elem(), path+"[]"
		}
		if nested.Kind() == reflect.Struct {
			writeFields(w, path, nested)
		}
	}
}

func typeName(t reflect.Type) string {
	switch {
	case t == durationType:
		return "time span"
	case t.Kind() == reflect.Slice:
		return "list of " + typeName(t.Elem())
	case t.Kind() == reflect.Struct:
		return "object"
	case t.Kind() == reflect.String:
		return "text"
	case t.Kind() == reflect.Bool:
		return "true or false"
	case t.Kind() == reflect.Float64:
		return "number"
	default:
		return "whole number"
	}
}

func defaultText(t reflect.Type, tag reflect.StructTag) string {
	if tag.Get("required") == "true" {
		return "required"
	}
	if value, ok := tag.Lookup("default"); ok {
		return value
	}
	switch t.Kind() {
	case reflect.Bool:
		return "false"
	case reflect.Struct:
		return "see its fields"
	default:
		return "none"
	}
}

func bounds(tag reflect.StructTag) string {
	low, high := tag.Get("min"), tag.Get("max")
	switch {
	case low == "" && high == "":
		return tag.Get("kind")
	case high == "":
		return strings.TrimSpace("at least " + low + " " + tag.Get("kind"))
	default:
		return low + " to " + high
	}
}
