package settings

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	routerText = `{"fleet":"f","name":"r","dataCentre":"d","caller":"10.0.0.1:1","announce":"10.0.0.1:2","peer":"10.0.0.1:3",
		"control":["10.0.0.2:1"]}`
	controlText = `{"fleet":"f","name":"a","dataCentre":"d","dataFolder":"data","tokenFile":"token","peers":[
		{"name":"a","peer":"10.0.0.1:1","operator":"10.0.0.1:2"},
		{"name":"b","peer":"10.0.0.2:1","operator":"10.0.0.2:2"},
		{"name":"c","peer":"10.0.0.3:1","operator":"10.0.0.3:2"}]}`
	operatorText = `{"name":"Anna K.","control":["10.0.0.1:2"],"tokenFile":"token"}`
)

// edit returns a settings text with fields replaced; nil removes one.
func edit(t *testing.T, text string, fields map[string]any) []byte {
	t.Helper()
	object := map[string]any{}
	assert.NilError(t, json.Unmarshal([]byte(text), &object))
	for key, value := range fields {
		object[key] = value
		if value == nil {
			delete(object, key)
		}
	}
	data, err := json.Marshal(object)
	assert.NilError(t, err)
	return data
}

func lines(err error) []string {
	if err == nil {
		return nil
	}
	return strings.Split(err.Error(), "\n")
}

// TestProblems checks that each mistake is reported in one line with file, field
// and value, and that nothing else is reported.
func TestProblems(t *testing.T) {
	type fields = map[string]any
	address := func(n string) fields { return fields{"name": n, "peer": "10.0.0.9:1", "operator": "10.0.0.9:2"} }
	for _, test := range []struct {
		target any
		text   string
		edit   fields
		want   []string
	}{
		{&Router{}, routerText, nil, nil},
		{&Control{}, controlText, nil, nil},
		{&Operator{}, operatorText, nil, nil},
		{&Router{}, routerText, fields{"colour": "red", "renewal": 5, "caller": "nowhere", "maxBody": 1, "name": nil}, []string{
			"f.json: name: missing", "f.json: caller = nowhere: must be an IP address and a port, such as 10.0.0.1:7000",
			"f.json: maxBody = 1: must be at least 1024", "f.json: renewal = 5: must be a time span with its unit, such as \"400ms\"",
			"f.json: colour = red: unknown field",
		}},
		{&Router{}, routerText, fields{"renewal": "5"}, []string{"f.json: renewal = 5: must be a time span with its unit, such as \"400ms\""}},
		{&Router{}, routerText, fields{"renewal": "5 parsecs", "grace": "99h", "announceTimeout": "1ms"}, []string{
			"f.json: renewal = 5 parsecs: must be a time span with its unit, such as \"400ms\"", "f.json: grace = 99h: must be at most 10m",
			"f.json: announceTimeout = 1ms: must be at least 100ms"}},
		{&Router{}, routerText, fields{"maxBody": json.Number("1e30"), "maxRequests": json.Number("99999999999999999999")}, []string{
			"f.json: maxBody = 1e30: must be a whole number", "f.json: maxRequests = 99999999999999999999: must be at most 65536"}},
		{&Router{}, routerText, fields{"maxBody": 1024.5, "maxRequests": "many"}, []string{
			"f.json: maxBody = 1024.5: must be a whole number", "f.json: maxRequests = many: must be a number"}},
		{&Router{}, routerText, fields{"fleet": "", "dataCentre": "two words", "name": strings.Repeat("n", 65)}, []string{
			"f.json: fleet: must not be empty",
			"f.json: name = " + strings.Repeat("n", 65) + ": must be 1 to 64 letters a to z, digits, dots, hyphens or underscores",
			"f.json: dataCentre = two words: must be 1 to 64 letters a to z, digits, dots, hyphens or underscores"}},
		{&Router{}, routerText, fields{"control": []any{}}, []string{"f.json: control = 0: needs at least 1 items"}},
		{&Router{}, routerText, fields{"control": "10.0.0.2:1"}, []string{"f.json: control = 10.0.0.2:1: must be a list"}},
		{&Router{}, routerText, fields{"control": []any{"10.0.0.2:70000", "host:1", 7}}, []string{
			"f.json: control[0] = 10.0.0.2:70000: port must be from 1 to 65535",
			"f.json: control[1] = host:1: must be an IP address and a port, such as 10.0.0.1:7000", "f.json: control[2] = 7: must be a string"}},
		{&Router{}, routerText, fields{"control": []any{"10.0.0.2:1", "10.0.0.2:1"}, "metrics": "10.0.0.1:1", "renewal": "2s"}, []string{
			"f.json: metrics = 10.0.0.1:1: is also the address of caller", "f.json: control = 10.0.0.2:1: is given twice",
			"f.json: announceTimeout = 3s: must be at least twice renewal"}},
		{&Router{}, routerText, fields{"peer": "10.0.0.2:1"}, []string{"f.json: peer = 10.0.0.2:1: is also the address of a control process"}},
		{&Control{}, controlText, fields{"name": "z", "timing": fields{"heartbeat": "200ms", "drift": "100ms", "renewal": "400ms", "view": "900ms"}}, []string{
			"f.json: timing.election = 300ms: must be at least four times timing.heartbeat",
			"f.json: timing.drift = 100ms: must be less than a quarter of timing.election",
			"f.json: timing.ownership = 1s: must be at least three times timing.renewal",
			"f.json: timing.view = 900ms: must be at least timing.ownership", "f.json: name = z: is not one of peers"}},
		{&Control{}, controlText, fields{"name": "x", "peers": []any{address("x"), address("x")}}, []string{
			"f.json: peers = x: name is used twice", "f.json: peers = 2: must be an odd number",
			"f.json: peers[1].peer = 10.0.0.9:1: is also the address of peers[0].peer",
			"f.json: peers[1].operator = 10.0.0.9:2: is also the address of peers[0].operator"}},
		{&Control{}, controlText, fields{"timing": "fast", "snapshotEntries": nil}, []string{"f.json: timing = fast: must be an object"}},
		{&Operator{}, operatorText, fields{"control": []any{"10.0.0.1:2", "10.0.0.1:2"}}, []string{"f.json: control = 10.0.0.1:2: is given twice"}},
	} {
		err := Parse("f.json", edit(t, test.text, test.edit), test.target)
		assert.DeepEqual(t, lines(err), test.want)
	}
}

func TestInvalidFiles(t *testing.T) {
	for text, want := range map[string]string{
		"":                   "f.json: (file): not valid JSON: EOF",
		"{":                  "f.json: (file): not valid JSON: unexpected EOF",
		"[]":                 "f.json: (file) = []: must be an object",
		"null":               "f.json: (file): must be an object",
		routerText + " more": "f.json: (file): text after the JSON value",
		`{"name":"a","control":["10.0.0.1:1"],"tokenFile":"t","name":"b"}`:                        "f.json: name: given twice",
		`{"control":["10.0.0.1:1"],"name":"a","tokenFile":"t","x":[{"a":1},{"b":{"c":1,"c":2}}]}`: "f.json: x[1].b.c: given twice\nf.json: x = [map[a:1] map[b:map[c:2]]]: unknown field",
	} {
		var target any = &Operator{}
		if strings.HasPrefix(text, routerText) {
			target = &Router{}
		}
		assert.Error(t, Parse("f.json", []byte(text), target), want)
	}
	folder := t.TempDir()
	assert.ErrorContains(t, Read(filepath.Join(folder, "absent.json"), &Router{}), "absent.json: no such file")
	assert.ErrorContains(t, Read(folder, &Router{}), "is a directory")
}

// TestDefaults checks that every default is within its own bounds and that what
// check prints can be read back unchanged.
func TestDefaults(t *testing.T) {
	for text, target := range map[string]any{routerText: &Router{}, controlText: &Control{}, operatorText: &Operator{}} {
		assert.NilError(t, Parse("f.json", []byte(text), target))
		printed, err := json.Marshal(target)
		assert.NilError(t, err)
		again := reflect.New(reflect.TypeOf(target).Elem()).Interface()
		assert.NilError(t, Parse("f.json", printed, again))
		assert.DeepEqual(t, target, again)
	}
	r := &Router{}
	assert.NilError(t, Parse("f.json", []byte(routerText), r))
	assert.Equal(t, r.Renewal.Value(), 300*time.Millisecond)
	assert.Equal(t, r.MaxBody, 1<<20)
}

func TestReadToken(t *testing.T) {
	for _, test := range []struct {
		text string
		mode os.FileMode
		want string
	}{
		{"secret\n", 0o600, ""}, {"secret", 0o640, ""}, {" \n", 0o600, "is empty"},
		{"secret", 0o644, "others can read it; run chmod 600"}, {"two words", 0o600, "must hold one word of printable ASCII"},
	} {
		path := filepath.Join(t.TempDir(), "token")
		assert.NilError(t, os.WriteFile(path, []byte(test.text), test.mode))
		token, err := ReadToken(path)
		if test.want == "" {
			assert.NilError(t, err)
			assert.Equal(t, token, "secret")
			continue
		}
		assert.ErrorContains(t, err, test.want)
		assert.Assert(t, !strings.Contains(err.Error(), "secret"), "token in error")
	}
	_, err := ReadToken("absent")
	assert.Assert(t, errors.Is(err, os.ErrNotExist))
}

// FuzzParse checks that no input makes Parse panic, and that accepted settings
// can be encoded and parsed again.
func FuzzParse(f *testing.F) {
	for _, text := range []string{routerText, controlText, operatorText, `{"a":{"b":[1,{"c":null}]}}`, `{"maxBody":-1e400}`, "[[[["} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, target := range []any{&Router{}, &Control{}, &Operator{}} {
			if Parse("f.json", data, target) != nil {
				continue
			}
			printed, err := json.Marshal(target)
			assert.NilError(t, err)
			assert.NilError(t, Parse("f.json", printed, reflect.New(reflect.TypeOf(target).Elem()).Interface()))
		}
	})
}

// TestGracePeriodEndsBeforeKill checks that the grace period ends killMargin
// before the process is killed, but is never shorter than killMargin.
func TestGracePeriodEndsBeforeKill(t *testing.T) {
	for _, test := range []struct{ grace, kill, want time.Duration }{
		{10 * time.Second, 0, 10 * time.Second}, {10 * time.Second, 6 * time.Second, 5500 * time.Millisecond},
		{2 * time.Second, 6 * time.Second, 2 * time.Second}, {2 * time.Second, 100 * time.Millisecond, killMargin},
	} {
		r := &Router{Grace: Duration(test.grace), KillAfter: Duration(test.kill)}
		assert.Equal(t, r.GracePeriod(), test.want)
		assert.Assert(t, r.LingerTime()+r.FinishTime() < r.GracePeriod() && r.FinishTime() > 0)
	}
}

// Guards against a process that doesn't start because its memory is not a whole number.
func TestMemoryMayBeAFraction(t *testing.T) {
	file := filepath.Join(t.TempDir(), "router.json")
	assert.NilError(t, os.WriteFile(file, edit(t, routerText, map[string]any{"memoryMB": 184.5}), 0o600))
	var s Router
	assert.NilError(t, Read(file, &s))
	assert.Equal(t, s.MemoryMB, 184.5)
}
