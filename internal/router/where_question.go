package router

import (
	"endivespring/internal/gateway"
	"endivespring/internal/ring"
)

// whereQuestion asks the gateway duty where a request would go.
type whereQuestion struct {
	question gateway.Question
	reply    ring.Reply[gateway.Whereabouts]
}
