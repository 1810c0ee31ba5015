package command

import (
	"github.com/samber/do/v2"

	"endivespring/internal/controlnode"
	"endivespring/internal/router"
)

// FrontEnd is an interface that processes can serve in addition to the project's
// own.
type FrontEnd struct {
	// Name identifies the front end in settings.
	Name    string
	Router  router.FrontEnd
	Control controlnode.FrontEnd
}

// provideFrontEnds registers the front ends with the injector by their names.
func provideFrontEnds(injector do.Injector, frontEnds []FrontEnd) {
	for _, f := range frontEnds {
		do.ProvideNamedValue(injector, f.Name, f.Router)
		do.ProvideNamedValue(injector, f.Name+controlnode.FrontEndSuffix, f.Control)
	}
}
