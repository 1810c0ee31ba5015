package command

import (
	"github.com/samber/do/v2"

	"endivespring/internal/controlnode"
	"endivespring/internal/router"
)

// FrontEnd is an interface that processes serve besides the project's own.
type FrontEnd struct {
	// Name is what settings call it.
	Name    string
	Router  router.FrontEnd
	Control controlnode.FrontEnd
}

// provideFrontEnds makes front ends known by their names.
func provideFrontEnds(injector do.Injector, frontEnds []FrontEnd) {
	for _, f := range frontEnds {
		do.ProvideNamedValue(injector, f.Name, f.Router)
		do.ProvideNamedValue(injector, f.Name+controlnode.FrontEndSuffix, f.Control)
	}
}
