package settings

import (
	"encoding/json"
	"fmt"
	"net"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/samber/lo"
)

const maxNameLength = 64 // characters

var (
	durationType = reflect.TypeFor[Duration]()
	namePattern  = regexp.MustCompile(fmt.Sprintf(`^[A-Za-z0-9._-]{1,%d}$`, maxNameLength))
)

// structDecoder fills a struct from decoded JSON by the tags of its fields and
// collects problems.
type structDecoder struct {
	file     string
	problems Problems
}

func (d *structDecoder) report(field string, value any, format string, args ...any) {
	d.problems = append(d.problems, Problem{File: d.file, Field: field, Value: value, Message: fmt.Sprintf(format, args...)})
}

func (d *structDecoder) value(path string, raw any, target reflect.Value, tag reflect.StructTag) {
	switch {
	case target.Type() == durationType:
		d.duration(path, raw, target, tag)
	case target.Kind() == reflect.Struct:
		d.object(path, raw, target)
	case target.Kind() == reflect.Slice:
		d.list(path, raw, target, tag)
	default:
		d.scalar(path, raw, target, tag)
	}
}

func (d *structDecoder) object(path string, raw any, target reflect.Value) {
	object, ok := raw.(map[string]any)
	if !ok {
		d.report(displayPath(path), raw, "must be an object")
		return
	}
	known := map[string]bool{}
	for i := range target.NumField() {
		field := target.Type().Field(i)
		key := field.Tag.Get("json")
		known[key] = true
		d.field(joinPath(path, key), object, key, target.Field(i), field.Tag)
	}
	keys := lo.Keys(object)
	slices.Sort(keys)
	for _, key := range keys {
		if !known[key] {
			d.report(joinPath(path, key), object[key], "unknown field")
		}
	}
}

func (d *structDecoder) field(path string, object map[string]any, key string, target reflect.Value, tag reflect.StructTag) {
	raw, present := object[key]
	if present {
		d.value(path, raw, target, tag)
		return
	}
	if tag.Get("required") == "true" {
		d.report(path, nil, "missing")
		return
	}
	if value, ok := tag.Lookup("default"); ok {
		d.value(path, defaultValue(value, target), target, tag)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		d.value(path, map[string]any{}, target, tag)
	case reflect.Slice:
		target.Set(reflect.MakeSlice(target.Type(), 0, 0))
	}
}

// defaultValue converts the default in a tag to the type that the JSON decoder
// returns for such a value.
func defaultValue(value string, target reflect.Value) any {
	switch {
	case target.Type() == durationType || target.Kind() == reflect.String:
		return value
	case target.Kind() == reflect.Bool:
		return value == "true"
	default:
		return json.Number(value)
	}
}

func (d *structDecoder) list(path string, raw any, target reflect.Value, tag reflect.StructTag) {
	items, ok := raw.([]any)
	if !ok {
		d.report(path, raw, "must be a list")
		return
	}
	if low := tag.Get("min"); low != "" && len(items) < lo.Must(strconv.Atoi(low)) {
		d.report(path, len(items), "needs at least %s items", low)
	}
	target.Set(reflect.MakeSlice(target.Type(), len(items), len(items)))
	for i, item := range items {
		d.value(fmt.Sprintf("%s[%d]", path, i), item, target.Index(i), tag)
	}
}

func (d *structDecoder) duration(path string, raw any, target reflect.Value, tag reflect.StructTag) {
	text, ok := raw.(string)
	if !ok {
		d.report(path, raw, "must be a time span with its unit, such as \"400ms\"")
		return
	}
	span, err := time.ParseDuration(text)
	if err != nil {
		d.report(path, text, "must be a time span with its unit, such as \"400ms\"")
		return
	}
	if low := tag.Get("min"); low != "" && span < lo.Must(time.ParseDuration(low)) {
		d.report(path, text, "must be at least %s", low)
	}
	if high := tag.Get("max"); high != "" && span > lo.Must(time.ParseDuration(high)) {
		d.report(path, text, "must be at most %s", high)
	}
	target.SetInt(int64(span))
}

func (d *structDecoder) scalar(path string, raw any, target reflect.Value, tag reflect.StructTag) {
	switch target.Kind() {
	case reflect.String:
		d.text(path, raw, target, tag)
	case reflect.Bool:
		flag, ok := raw.(bool)
		if !ok {
			d.report(path, raw, "must be true or false")
			return
		}
		target.SetBool(flag)
	default:
		d.number(path, raw, target, tag)
	}
}

func (d *structDecoder) text(path string, raw any, target reflect.Value, tag reflect.StructTag) {
	text, ok := raw.(string)
	if !ok {
		d.report(path, raw, "must be a string")
		return
	}
	if text == "" && tag.Get("required") == "true" {
		d.report(path, nil, "must not be empty")
		return
	}
	if problem := kindProblem(tag.Get("kind"), text); problem != "" {
		d.report(path, text, "%s", problem)
	}
	target.SetString(text)
}

// kindProblem checks a text against the kind in its tag. An empty text is not set
// and passes.
func kindProblem(kind, text string) string {
	switch {
	case text == "":
		return ""
	case kind == "address":
		return addressProblem(text)
	case kind == "name" && !namePattern.MatchString(text):
		return fmt.Sprintf("must be 1 to %d letters a to z, digits, dots, hyphens or underscores", maxNameLength)
	default:
		return ""
	}
}

func addressProblem(text string) string {
	host, port, err := net.SplitHostPort(text)
	if err != nil || net.ParseIP(host) == nil {
		return "must be an IP address and a port, such as 10.0.0.1:7000"
	}
	if n, err := strconv.Atoi(port); err != nil || n < 1 || n > 65535 {
		return "port must be from 1 to 65535"
	}
	return ""
}

func (d *structDecoder) number(path string, raw any, target reflect.Value, tag reflect.StructTag) {
	number, ok := raw.(json.Number)
	if !ok {
		d.report(path, raw, "must be a number")
		return
	}
	value, err := number.Float64()
	whole := !strings.ContainsAny(number.String(), ".eE")
	if err != nil || (target.Kind() != reflect.Float64 && !whole) {
		d.report(path, raw, "must be a whole number")
		return
	}
	if low := tag.Get("min"); low != "" && value < lo.Must(strconv.ParseFloat(low, 64)) {
		d.report(path, raw, "must be at least %s", low)
		return
	}
	if high := tag.Get("max"); high != "" && value > lo.Must(strconv.ParseFloat(high, 64)) {
		d.report(path, raw, "must be at most %s", high)
		return
	}
	if target.Kind() == reflect.Float64 {
		target.SetFloat(value)
		return
	}
	integer, err := number.Int64()
	if err != nil {
		d.report(path, raw, "is out of range")
		return
	}
	target.SetInt(integer)
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func displayPath(path string) string {
	if path == "" {
		return "(file)"
	}
	return path
}
