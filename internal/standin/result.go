package standin

import (
	"fmt"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"

	"endivespring/internal/upstream"
)

// result is the outcome of a job.
type result struct {
	status int
	// ran is the value of the header that says whether the request ran; empty if it
	// did.
	ran       string
	requestID string
	// run is the number of the run; empty if the request had none.
	run   string
	body  []byte
	fault Fault
	delay time.Duration
	// repeated is the text of the last refusal, for FaultRepeatedRefusal.
	repeated string
}

// headers returns the headers of the response.
func (r *result) headers() map[string]string {
	headers := map[string]string{
		fiber.HeaderContentType: fiber.MIMEApplicationJSON, upstream.HeaderRequestID: r.requestID, upstream.HeaderChecksum: checksum(r.body),
	}
	if r.run != "" {
		headers[upstream.HeaderRun] = r.run
	}
	if r.ran != "" {
		headers[upstream.HeaderRan] = r.ran
	}
	return headers
}

// headerText returns the status line and headers of the response as they are written,
// without the content length and the final empty line.
func (r *result) headerText() string {
	var text strings.Builder
	fmt.Fprintf(&text, "HTTP/1.1 %d Result\r\n", r.status)
	for name, value := range r.headers() {
		fmt.Fprintf(&text, "%s: %s\r\n", name, value)
	}
	return text.String()
}

// text returns the whole response as it is written.
func (r *result) text() string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", r.headerText(), len(r.body), r.body)
}
