package controlnode

import (
	"testing"

	"gotest.tools/v3/assert"

	"endivespring/internal/placement"
	"endivespring/internal/settings"
)

// TestPlacementSettings checks that the settings reach the plans, and that without them the
// policy is the one of builds that do not have them.
func TestPlacementSettings(t *testing.T) {
	n := &Node{settings: &settings.Control{MaxRebalancing: 16}}
	assert.Equal(t, n.placementLimits(), placement.Limits{MaxRebalancing: 16})
	n.settings.Placement = settings.Placement{Interleave: 16, ByCapacity: true}
	assert.Equal(t, n.placementLimits().Policy, placement.Policy{Interleave: 16, ByCapacity: true})
}
