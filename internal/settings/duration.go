package settings

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
)

// Duration is a time span, written with its unit as in "400ms".
type Duration time.Duration

// Value returns the time span.
func (d Duration) Value() time.Duration { return time.Duration(d) }

// MarshalJSON writes the span with its unit.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// UnmarshalJSON reads a span with its unit.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return eris.Wrap(err, "time span")
	}
	span, err := time.ParseDuration(text)
	*d = Duration(span)
	return eris.Wrap(err, "time span")
}
