package event

import (
	"bufio"
	"encoding/json"
	"io"
	"time"

	"github.com/rotisserie/eris"
)

const maxLine = 1 << 20 // bytes of a log line

// Line is a log line that was read back. Its JSON form is that of `explain`, not
// that of the log.
type Line struct {
	Time    time.Time `json:"time"`
	Process string    `json:"process"`
	Number  int       `json:"event"`
	Name    string    `json:"name"`
	// Fields are the event's own fields, without those that every line has.
	Fields map[string]any `json:"fields"`
}

// ReadLines returns the lines of a log for which keep returns true. Lines that
// are not events, such as the trace of a panic, are skipped.
func ReadLines(r io.Reader, keep func(*Line) bool) ([]Line, error) {
	var out []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		if line, ok := parseLine(scanner.Bytes()); ok && keep(&line) {
			out = append(out, line)
		}
	}
	return out, eris.Wrap(scanner.Err(), "read log")
}

func parseLine(data []byte) (Line, bool) {
	fields := map[string]any{}
	if json.Unmarshal(data, &fields) != nil {
		return Line{}, false
	}
	number, ok := fields["event"].(float64)
	text, _ := fields["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, text)
	if !ok || err != nil {
		return Line{}, false
	}
	line := Line{Time: at, Number: int(number), Fields: fields}
	line.Process, _ = fields["process"].(string)
	line.Name, _ = fields["message"].(string)
	for _, common := range []string{"level", "process", "event", "time", "message"} {
		delete(fields, common)
	}
	return line, true
}
