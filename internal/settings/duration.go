package settings

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
)

// Duration is a time span, written with its unit as in "400ms".
type Duration time.Duration

// Value converts to the type of package time.
func (d Duration) Value() time.Duration { return time.Duration(d) }

// MarshalJSON encodes the time span as a string with its unit.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// UnmarshalJSON decodes a string with a unit, such as "400ms".
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return eris.Wrap(err, "time span")
	}
	span, err := time.ParseDuration(text)
	*d = Duration(span)
	return eris.Wrap(err, "time span")
}
