// Package capacity benchmarks how message sizes, time and memory of control
// processes and routers grow with the fleet. docs/CAPACITY.md is based on them.
package capacity

import (
	"fmt"
	"runtime"
	"time"

	"endivespring/internal/fleet"
	"endivespring/internal/fsm"
)

const slotsPerUpstream = 10

// newFleet returns the replicated state of a fleet at rest: every router has an
// upstream, every shard is granted, and each service has an equal number of both.
func newFleet(routers, shards int) *fsm.State {
	state := fsm.NewState()
	state.Apply(0, &fsm.Command{OperatorChange: &fsm.OperatorChange{CommandID: "preset", Preset: newPreset(shards)}})
	for i := range routers {
		state.Apply(0, &fsm.Command{OpenSession: &fsm.OpenSession{Nonce: fmt.Sprintf("nonce-%06d", i), Router: newRouter(i)}})
	}
	assign := &fsm.Assign{}
	for i := range shards {
		service := i % services
		owner := (i/services%(routers/services))*services + service
		assign.Grants = append(assign.Grants, fsm.Grant{
			Shard:  fleet.ShardID{Service: serviceName(service), Number: uint32(i / services)},
			Router: newRouter(owner).ID, Session: fleet.Session(owner + 1),
		})
	}
	state.Apply(0, &fsm.Command{Assign: assign})
	return state
}

const services = 4

func serviceName(i int) string { return fmt.Sprintf("service-%d", i) }

func newPreset(shards int) *fleet.Preset {
	p := &fleet.Preset{Name: "ordinary"}
	for i := range services {
		p.Services = append(p.Services, fleet.Service{
			Name: serviceName(i), Keyed: i%2 == 0, Shards: uint32(shards / services), QueueLimit: 64, RetryBudget: 0.1,
			RecordWindow: 10 * time.Minute,
			Operations:   []fleet.Operation{{Name: "lookup", Idempotent: true, Deadline: time.Second}, {Name: "change", Deadline: time.Second}},
		})
	}
	return p
}

func newRouter(i int) fleet.Router {
	address := fmt.Sprintf("10.%d.%d.%d", i>>16, i>>8&255, i&255)
	return fleet.Router{
		ID: fleet.RouterID(fmt.Sprintf("router-%05d", i)), DataCentre: fleet.DataCentre(fmt.Sprintf("dc-%02d", i%18)), Address: address + ":7400",
		Upstream: fleet.Upstream{
			Name: fmt.Sprintf("upstream-%05d", i), Service: serviceName(i % services), Address: address + ":9000", Boot: "B4RC5G2T4WQ7E",
			Slots: slotsPerUpstream, ColdSlots: 2, Connections: 130, ChecksGrants: true,
		},
	}
}

// heapBytes returns the live heap memory that the result of build takes, in bytes.
func heapBytes[T any](build func() T) uint64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return after.HeapAlloc - min(before.HeapAlloc, after.HeapAlloc)
}
