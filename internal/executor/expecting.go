package executor

import "endivespring/internal/fleet"

// Expect sets the service that is configured for the upstream beside the router. An empty
// one allows every service of the preset in use.
func (c *Core) Expect(service string) { c.configuredService = service }

// Expects reports whether an announcement or heartbeat can come from the upstream beside the
// router: by the configured service or, if there is none, by the preset in use. Anything
// else was sent by another process and must not replace the upstream.
func (c *Core) Expects(u fleet.Upstream) bool {
	if c.configuredService != "" {
		return u.Service == c.configuredService
	}
	return c.view.Preset == nil || u.Service == c.upstream.Service || c.view.Preset.Service(u.Service) != nil
}
