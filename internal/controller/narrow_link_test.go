package controller_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/controller"
	"endivespring/internal/fleet"
	"endivespring/internal/fsm"
	"endivespring/internal/wire"
)

// sendDown delivers a message of a node to a router. Over a link of limited bandwidth it
// arrives in the parts that are sent on the wire.
func (sim *simulation) sendDown(n *node, r *router, s *controller.StreamMessage) {
	if sim.downRate == 0 {
		sim.send(n.name, r.name, func() { r.receive(s.Stream, s.Message) })
		return
	}
	change, err := wire.EncodeChange(s.Message.Change)
	if err != nil {
		sim.fail("encode change: %v", err)
	}
	parts := wire.SplitDown(wire.FromDown(&s.Message, change))
	direction := [2]string{n.name, r.name}
	for i, part := range parts {
		took := time.Duration(float64(len(part.GetChange())+100) / sim.downRate * float64(time.Second))
		due := max(sim.now+sim.linkDelay, sim.lastDue[direction]) + took
		sim.lastDue[direction] = due
		deliver := func() { r.progress(s.Stream) }
		if i == len(parts)-1 {
			deliver = func() { r.receive(s.Stream, s.Message) }
		}
		sim.deliveries = append(sim.deliveries, delivery{due: due, from: n.name, to: r.name, deliver: deliver})
	}
}

// progress records that a part of a message has arrived.
func (r *router) progress(stream controller.StreamID) {
	if r.stream == stream && r.downUntil <= r.sim.now {
		r.core.Progress(r.clock.at(r.sim.now))
	}
}

// largePreset returns a preset with many routes, some 110 KB encoded.
func largePreset(name string) *fleet.Preset {
	p := preset(name)
	for i := range 1640 {
		p.Routes = append(p.Routes, fleet.Route{
			Name: fmt.Sprintf("route-%04d", i), Host: "host.example", Prefix: fmt.Sprintf("/prefix-%04d/x/", i), Idempotent: true, Timeout: time.Second,
			Objective: time.Second / 2, MaxUpstreams: 2, Targets: []fleet.Target{{Service: p.Services[0].Name}},
		})
	}
	return p
}

// TestLargeChangesArriveOverNarrowLinks sends a change of 1,640 routes over links on which
// it takes longer than a router waits for control's next message. Parts of the change show
// that the leader is there; without them, routers replace their streams over and over, and
// each new stream begins the transfer anew.
func TestLargeChangesArriveOverNarrowLinks(t *testing.T) {
	for seed := range uint64(20) {
		sim := newSimulation(seed, 3)
		assert.Assert(t, sim.runUntilServed(serveTimeout), "seed %d: %v", seed, sim.failure)
		sim.linkDelay, sim.downRate = 10*time.Millisecond, 30e3
		large := largePreset("peak")
		data, err := wire.EncodeChange(&fleet.Change{Preset: large})
		assert.NilError(t, err)
		transfer := time.Duration(float64(len(data)) / sim.downRate * float64(time.Second))
		assert.Assert(t, transfer > 3*time.Second, "%v", transfer)
		sim.operate(fsm.OperatorChange{Preset: large})
		sim.run(transfer + 2*time.Second)
		assert.NilError(t, sim.failure, "seed %d", seed)
		for _, r := range sim.routers {
			assert.Equal(t, r.view.Config, fleet.Version(2), "seed %d: %s lacks the change", seed, r.name)
		}
	}
}
