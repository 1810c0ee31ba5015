package wire

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/balancer"
	"endivespring/internal/call"
	"endivespring/internal/fleet"
	"endivespring/internal/gateway"
)

// Guards against a field of a question or its answer that is lost or mixed up on the way.
func TestWhereIsConverted(t *testing.T) {
	q := gateway.Question{Service: "s", Operation: "o", Key: "k", Method: "GET", Host: "h", Path: "/p", KeyNumber: 7, Numbered: true}
	assert.DeepEqual(t, ToQuestion(FromQuestion(&q, "f")), q)
	w := gateway.Whereabouts{
		View: 1, Route: "r", Service: "s", Targets: []fleet.Target{{Service: "t", Weight: 2}}, Keyed: true, Shard: "s/3", Phase: fleet.ShardRevoking,
		Owner: "o", Epoch: 4, Decision: gateway.Parked, Reason: "no-owner", Why: "w",
		Candidates: []balancer.Candidate{{
			Router: fleet.Router{ID: "i", DataCentre: "d", Upstream: fleet.Upstream{Name: "u"}}, Remote: true, Estimate: time.Second, InFlight: 5,
			Load: call.Load{InFlight: 6, Queued: 7, Limit: 8, Latency: 9, Wait: 10}, Age: 11, Reported: true, Latency: 12, Outliers: 13,
			Failing: true, Known: true,
		}, {Full: true}},
	}
	assert.DeepEqual(t, ToWhereabouts(FromWhereabouts(&w)), w)
}
