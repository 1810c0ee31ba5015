// Package settings reads JSON files into typed structs. Struct tags hold each
// field's description, default and bounds; all problems of a file are reported
// together.
package settings

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
	"reflect"

	"github.com/rotisserie/eris"
)

// Checker is implemented by settings that have checks across fields.
type Checker interface {
	// Check returns the problems, with File left empty.
	Check() Problems
}

// Read reads the file at path into target, a pointer to a struct. The error is
// of type Problems if the file was read but is not valid.
func Read(path string, target any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return eris.Wrap(err, "read settings")
	}
	return Parse(path, data, target)
}

// Parse decodes data into target, a pointer to a struct, and sets defaults. Path
// names the file in problems. The error is of type Problems.
func Parse(path string, data []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	var raw any
	if err := decoder.Decode(&raw); err != nil {
		return Problems{{File: path, Field: "(file)", Message: "not valid JSON: " + err.Error()}}
	}
	if _, err := decoder.Token(); err != io.EOF {
		return Problems{{File: path, Field: "(file)", Message: "text after the JSON value"}}
	}
	d := &structDecoder{file: path}
	for _, field := range duplicateKeys(data) {
		d.report(field, nil, "given twice")
	}
	d.value("", raw, reflect.ValueOf(target).Elem(), "")
	if checker, ok := target.(Checker); ok && len(d.problems) == 0 {
		for _, problem := range checker.Check() {
			problem.File = path
			d.problems = append(d.problems, problem)
		}
	}
	return d.problems.ErrorOrNil()
}
