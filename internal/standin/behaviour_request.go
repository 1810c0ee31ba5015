package standin

import "endivespring/internal/ring"

// behaviourRequest carries the JSON of a BehaviourChange to the scheduler. The reply
// is an error text, empty if the change was applied.
type behaviourRequest struct {
	body  []byte
	reply ring.Reply[string]
}
