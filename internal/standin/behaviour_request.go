package standin

import "endivespring/internal/ring"

// changeRequest brings the JSON of a Change to the scheduler; the reply is the
// problem with it, or empty.
type behaviourRequest struct {
	body  []byte
	reply ring.Reply[string]
}
