package controlnode

import (
	"context"

	"github.com/rotisserie/eris"
	"github.com/samber/do/v2"

	"endivespring/internal/caller"
	"endivespring/internal/operator"
	"endivespring/internal/peer"
	"endivespring/internal/ring"
)

// startOperators starts the HTTP server for operators and, if the settings name
// one, the additional front end.
func (n *Node) startOperators(injector do.Injector, token string, requests *ring.Ring[operator.Request]) error {
	n.operatorServer = operator.NewServer(token, requests).App()
	if address := n.settings.Self().Operator; address != "" {
		listener, err := peer.Listen(address)
		if err != nil {
			return err
		}
		n.group.Go("operator-server", func(context.Context) error { return caller.ServeLimited(n.operatorServer, listener, n.events) })
	}
	if n.settings.FrontEnd.Name == "" {
		return nil
	}
	frontEnd, err := do.InvokeNamed[FrontEnd](injector, n.settings.FrontEnd.Name+FrontEndSuffix)
	if err != nil {
		return eris.Errorf("frontEnd.name = %s: unknown front end", n.settings.FrontEnd.Name)
	}
	listener, err := peer.Listen(n.settings.FrontEnd.Operator)
	if err != nil {
		return err
	}
	n.group.Go("front-end", func(ctx context.Context) error { return frontEnd.ServeOperators(ctx, listener, requests, n.events) })
	return nil
}
