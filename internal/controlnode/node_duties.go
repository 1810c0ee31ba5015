package controlnode

import (
	"context"
	"hash/fnv"

	"endivespring/internal/caller"
	"endivespring/internal/clock"
	"endivespring/internal/consensus"
	"endivespring/internal/controller"
	"endivespring/internal/lease"
	"endivespring/internal/metrics"
	"endivespring/internal/operator"
	"endivespring/internal/peer"
	"endivespring/internal/placement"
	"endivespring/internal/ring"
	"endivespring/internal/wire"
)

// startMetrics starts the metrics server if the settings give an address for
// it.
func (n *Node) startMetrics() error {
	n.metricsServer = metrics.NewServer(n.registry)
	if n.settings.Metrics == "" {
		return nil
	}
	listener, err := peer.Listen(n.settings.Metrics)
	if err != nil {
		return err
	}
	n.group.Go("metrics-server", func(context.Context) error { return caller.ServeLimited(n.metricsServer, listener, n.events) })
	return nil
}

// startPeers starts the duty that dispatches messages to the other control
// processes, and returns the sending end of its ring.
func (n *Node) startPeers() *outbound {
	out := &outbound{messages: ring.New[consensus.Message]("consensus-out", outboundCapacity, ring.DropOldest)}
	n.registry.RegisterRings(out.messages)
	d := &dispatchDuty{
		fleet: n.settings.Fleet, self: n.settings.Self().Name, events: n.events, group: n.group, registry: n.registry,
		messages: out.messages, address: n.settings.PeerAddress, peers: map[string]*dispatchedPeer{},
	}
	n.group.Go("dispatch", d.Run)
	return out
}

// consensusDuty creates the consensus duty from the stored log, with the rings
// that it reads from.
func (n *Node) consensusDuty(timeSource clock.Clock, stored *consensus.Stored, out *outbound, writes *ring.Ring[storageRequest], positions *ring.Ring[logPosition]) *consensusDuty {
	timing := n.settings.Timing
	config := consensus.Config{
		ID: n.disk.NodeID(), HeartbeatInterval: timing.Heartbeat.Value(), ElectionTimeout: timing.Election.Value(),
		DriftMargin: timing.Drift.Value(), MaxBatch: maxEntriesPerMessage, Seed: seedOf(n.disk.Identity().Disk),
	}
	n.addPeers(&config)
	return &consensusDuty{
		core: consensus.New(config, stored, timeSource.Now()), clock: timeSource, outbound: out, writes: writes, persisted: positions,
		events:           n.events,
		transferRequests: n.transferRequests,
		seedAddresses:    n.seedAddresses,
		leaseReleased:    ring.New[struct{}]("released", 1, ring.Refuse),
		inbound:          ring.New[*consensus.Message]("consensus-in", inboundCapacity, ring.DropOldest),
		proposals:        ring.New[[]byte]("proposals", proposalCapacity, ring.Refuse),
		compactions:      ring.New[compaction]("compactions", 1, ring.Refuse),
		updates:          ring.New[logUpdate]("log-updates", updateCapacity, ring.Wait),
	}
}

// controllerDuty creates the controller duty and restores its state from the
// stored snapshot, if there is one. Entries after the snapshot are applied once
// the consensus duty reports them as committed.
func (n *Node) controllerDuty(timeSource clock.Clock, c *consensusDuty, stored *consensus.Stored) (*controllerDuty, error) {
	timing := n.settings.Timing
	leases := lease.Timing{Ownership: timing.Ownership.Value(), View: timing.View.Value(), Margin: timing.Drift.Value()}
	core := controller.New(leases, n.placementLimits(), n.settings.PeerAddress)
	if n.settings.Discovery.InUse() {
		core.RequireVoters(2 * n.settings.Discovery.Tolerance)
	}
	d := &controllerDuty{
		core: core, clock: timeSource, events: n.events, updates: c.updates, proposals: c.proposals, compactions: c.compactions, leaseReleased: c.leaseReleased,
		snapshotInterval: uint64(n.settings.SnapshotEntries),
		snapshotBytes:    n.settings.SnapshotBytes,
		streamEvents:     ring.New[streamEvent]("renewals", streamEventCapacity, ring.Refuse),
		operators:        ring.New[operator.Request]("operators", operatorCapacity, ring.Refuse),
		meter:            metrics.NewControlMeter(n.registry),
		streams:          map[controller.StreamID]streamEvent{}, pendingCommands: map[uint64]pendingCommand{},
	}
	if stored.Snapshot != nil {
		state, err := wire.DecodeState(stored.Snapshot.Data)
		if err != nil {
			return nil, err
		}
		core.Restore(state)
		d.applied, d.compacted = stored.Snapshot.Index, stored.Snapshot.Index
	}
	return d, nil
}

// addPeers sets the initial contacts of the consensus core: with discovery its
// seed addresses, and then also the numbers of voters and of copies; without it
// the configured peers.
func (n *Node) addPeers(config *consensus.Config) {
	if discovery := n.settings.Discovery; discovery.InUse() {
		config.Peers, config.Open, config.JoinsOnly = discovery.SeedAddresses(), true, !discovery.FirstStart
		config.Voters, config.MinCopies = discovery.Voters(), discovery.Tolerance+1
		return
	}
	for _, p := range n.settings.Peers {
		config.Peers = append(config.Peers, p.Name)
	}
}

// seedOf derives a random seed from the disk's identity, so that the processes
// draw different random numbers.
func seedOf(disk string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(disk))
	return h.Sum64()
}

// placementLimits returns the limits of plans that the settings state.
func (n *Node) placementLimits() placement.Limits {
	policy := placement.Policy{Interleave: n.settings.Placement.Interleave, ByCapacity: n.settings.Placement.ByCapacity}
	return placement.Limits{MaxRebalancing: n.settings.MaxRebalancing, Policy: policy}
}
