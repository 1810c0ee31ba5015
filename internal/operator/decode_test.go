package operator

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a body of a legal size that takes many times its size once it is decoded, and
// against a bound that refuses the largest proper one.
func TestDecodeBoundsItems(t *testing.T) {
	const largest = 16 << 20
	var body any
	empty := `{"r":[` + strings.Repeat("{},", largest/3) + "{}]}"
	assert.Assert(t, errors.Is(Decode([]byte(empty), &body), errTooManyItems))
	route := `"r":{"host":"h","prefix":"/","kind":"safe","timeout_s":1,"service":"s","max_attempts":1},`
	var routes struct{ Z string }
	assert.NilError(t, Decode([]byte("{"+strings.Repeat(route, largest/len(route))+`"Z":""}`), &routes))
	part := `{"service":"s","weight":1},`
	assert.NilError(t, Decode([]byte(`{"x":[`+strings.Repeat(part, largest/len(part))+`{}],"Z":""}`), &routes))
}
