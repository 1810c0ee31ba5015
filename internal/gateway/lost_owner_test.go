package gateway

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/balancer"
	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
	"endivespring/internal/verdict"
)

// TestRequestsOutlastLostOwner sends more requests to the lost owner of a shard than the
// retry budget has tokens. All must wait for the next owner and run there.
func TestRequestsOutlastLostOwner(t *testing.T) {
	router := func(id fleet.RouterID, session fleet.Session) fleet.Router {
		return fleet.Router{ID: id, Session: session, Upstream: fleet.Upstream{Name: "u-" + string(id), Service: "s"}}
	}
	shard := fleet.Shard{ID: fleet.ShardID{Service: "s"}, Phase: fleet.ShardGranted, Owner: "dead", Session: 1, Epoch: 1}
	core := New(Settings{Balancer: balancer.Settings{Seed: 1}})
	core.SetViewLease(clock.Never)
	core.SetView(0, &fleet.Change{Full: true, To: 1, Routers: []fleet.Router{router("dead", 1), router("next", 2)}, Shards: []fleet.Shard{shard},
		Preset: &fleet.Preset{Services: []fleet.Service{{Name: "s", Keyed: true, Shards: 1, RetryBudget: 0.1, Operations: []fleet.Operation{{Name: "change", Deadline: 5 * time.Second}}}}}})
	const requests = 100
	now := clock.Instant(0)
	for i := range requests {
		core.Start(now, Request{Token: uint64(i + 1), ID: fmt.Sprint(i), Service: "s", Operation: "change", Key: "k"})
	}
	answered := 0
	for step := range 400 {
		now = now.Add(5 * time.Millisecond)
		if step == 240 {
			shard.Owner, shard.Session, shard.Epoch = "next", 2, 2
			core.SetView(now, &fleet.Change{From: 1, To: 2, Shards: []fleet.Shard{shard}})
		}
		core.Tick(now)
		out := core.Take()
		for _, send := range out.Sends {
			if send.Router.ID == "dead" {
				core.HandleLostCall(now, send.Call.Number, verdict.NotRun)
				continue
			}
			core.HandleAnswer(now, send.Router.ID, call.Answer{Number: send.Call.Number, RequestID: send.Call.RequestID, Verdict: verdict.Ran})
		}
		for _, reply := range append(out.Replies, core.Take().Replies...) {
			assert.Equal(t, reply.Answer.Verdict, verdict.Ran, "reason %s", reply.Answer.Reason)
			answered++
		}
	}
	assert.Equal(t, answered, requests)
	assert.Equal(t, core.Len(), 0)
}
