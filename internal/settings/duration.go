package settings

import (
	"encoding/json"
	"time"
)

// Duration is a time span, written with its unit as in "400ms".
type Duration time.Duration

// Value returns the time span.
func (d Duration) Value() time.Duration { return time.Duration(d) }

// MarshalJSON writes the span with its unit.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }
