// Package settings reads typed JSON files. Struct tags give each field its
// description, default and bounds; every problem of a file is reported at once.
package settings

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
	"reflect"

	"github.com/rotisserie/eris"
)

// Checker is implemented by settings with checks across fields.
type Checker interface {
	// Check returns problems with File left empty.
	Check() Problems
}

// Read reads a file into target, a pointer to a struct.
func Read(path string, target any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return eris.Wrap(err, "read settings")
	}
	return Parse(path, data, target)
}

// Parse reads data, named path in problems, into target, a pointer to a struct.
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
