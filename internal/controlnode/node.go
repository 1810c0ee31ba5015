// Package controlnode runs a control process: its duties, the rings between
// them and the adapters around them.
package controlnode

import (
	"context"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/rotisserie/eris"
	"github.com/samber/do/v2"
	"google.golang.org/grpc"

	"endivespring/internal/clock"
	"endivespring/internal/consensus"
	"endivespring/internal/duty"
	"endivespring/internal/event"
	"endivespring/internal/metrics"
	"endivespring/internal/peer"
	"endivespring/internal/ring"
	"endivespring/internal/settings"
	"endivespring/internal/storage"
	"endivespring/internal/wire/wirepb"
)

const (
	inboundCapacity      = 1024    // consensus messages
	proposalCapacity     = 4096    // commands
	writeCapacity        = 256     // requests to the storage duty
	updateCapacity       = 1024    // log updates for the controller duty
	streamEventCapacity  = 8192    // renewals and closed streams
	operatorCapacity     = 256     // requests from operators
	peerCapacity         = 256     // consensus messages to one peer
	maxEntriesPerMessage = 512     // log entries in one consensus message
	strangerMemory       = 8 << 20 // bytes from connections that have not named the fleet
	outboundCapacity     = 1024    // consensus messages to all peers together

	// transferWait is how long a stopping process keeps running after it starts a
	// leadership transfer, so that the successor is elected before it ends.
	transferWait = 300 * time.Millisecond
	// shutdownTimeout is how long a stopping process waits for open HTTP
	// requests.
	shutdownTimeout = 200 * time.Millisecond
)

// Node is a running control process.
type Node struct {
	settings         *settings.Control
	source           *settings.Source[settings.Control]
	group            *duty.Group
	transferRequests *ring.Ring[struct{}]
	// seedAddresses holds the seed addresses of discovery from reloaded
	// settings.
	seedAddresses  *ring.Ring[[]string]
	peerServer     *grpc.Server
	operatorServer *fiber.App
	disk           *storage.Disk
	events         *event.Log
	registry       *metrics.Registry
	metricsServer  *fiber.App
}

// Start opens the data folder and the listeners and starts the duties. The
// injector provides *settings.Control, *settings.Source[settings.Control],
// *event.Log, *metrics.Registry and clock.Clock. Operators authenticate with
// token.
func Start(ctx context.Context, injector do.Injector, token string) (*Node, error) {
	s := do.MustInvoke[*settings.Control](injector)
	events := do.MustInvoke[*event.Log](injector)
	disk, stored, err := openDisk(s, events)
	if err != nil {
		return nil, err
	}
	if wrapFile, err := do.Invoke[storage.FileWrapper](injector); err == nil { // only test builds have it
		disk.WrapLog(wrapFile)
	}
	n := &Node{
		settings: s, source: do.MustInvoke[*settings.Source[settings.Control]](injector), disk: disk,
		seedAddresses: ring.New[[]string]("contacts", 1, ring.DropOldest), group: duty.NewGroup(ctx), events: events,
		transferRequests: ring.New[struct{}]("transfer", 1, ring.Refuse), registry: do.MustInvoke[*metrics.Registry](injector),
	}
	if err := n.start(injector, stored, token); err != nil {
		n.group.Stop()
		_ = disk.Close()
		return nil, err
	}
	return n, nil
}

// openDisk opens the data folder. A damaged one is quarantined; the process
// starts with an empty one and joins as a new voter, since it no longer knows
// what it has acknowledged.
func openDisk(s *settings.Control, events event.Recorder) (*storage.Disk, *consensus.Stored, error) {
	disk, stored, err := storage.Open(s.DataFolder, s.Fleet, s.Self().Name)
	if !eris.Is(err, storage.ErrDamaged) {
		return disk, stored, err
	}
	quarantined, quarantineErr := storage.Quarantine(s.DataFolder)
	if quarantineErr != nil {
		return nil, nil, quarantineErr
	}
	events.Record(event.DiskQuarantined, event.F("folder", quarantined), event.F("cause", err.Error()))
	return storage.Open(s.DataFolder, s.Fleet, s.Self().Name)
}

func (n *Node) start(injector do.Injector, stored *consensus.Stored, token string) error {
	self := n.settings.Self()
	peerListener, err := peer.Listen(self.Peer)
	if err != nil {
		return err
	}
	if err := n.startMetrics(); err != nil {
		return err
	}
	timeSource := do.MustInvoke[clock.Clock](injector)
	out := n.startPeers()
	writes := ring.New[storageRequest]("writes", writeCapacity, ring.Wait)
	positions := ring.New[logPosition]("persisted", writeCapacity, ring.DropOldest)
	consensusDuty := n.consensusDuty(timeSource, stored, out, writes, positions)
	controllerDuty, err := n.controllerDuty(timeSource, consensusDuty, stored)
	if err != nil {
		return err
	}
	n.registry.RegisterRings(n.events.Ring(), writes, positions, consensusDuty.inbound, consensusDuty.proposals, consensusDuty.updates, consensusDuty.compactions, controllerDuty.streamEvents, controllerDuty.operators)
	storageDuty := &storageDuty{disk: n.disk, writes: writes, persisted: positions, outbound: out}
	n.group.Go("event-log", n.events.Run)
	n.group.Go("storage", storageDuty.Run)
	n.group.Go("consensus", consensusDuty.Run)
	n.group.Go("controller", controllerDuty.Run)

	guard := peer.NewGuard(n.settings.Fleet, strangerMemory)
	n.peerServer = guard.NewServer()
	wirepb.RegisterConsensusServer(n.peerServer, &consensusServer{fleet: n.settings.Fleet, events: n.events, inbound: consensusDuty.inbound})
	wirepb.RegisterSessionsServer(n.peerServer, &sessionServer{fleet: n.settings.Fleet, events: n.events, streamEvents: controllerDuty.streamEvents})
	n.group.Go("peer-server", func(context.Context) error { return peer.Serve(n.peerServer, guard.Listen(peerListener)) })
	if err := n.startOperators(injector, token, controllerDuty.operators); err != nil {
		return err
	}
	n.events.Record(event.ProcessStarted, event.F("role", "control"), event.F("name", n.settings.Name), event.F("disk", n.disk.Identity().Disk))
	return nil
}

// Stop transfers leadership, if this process has it, and stops the process.
func (n *Node) Stop() {
	n.events.Record(event.ProcessStopping, event.F("name", n.settings.Name))
	_ = n.transferRequests.Put(n.group.Context(), struct{}{})
	sleep(n.group.Context(), transferWait)
	n.shutdown()
}

func (n *Node) shutdown() {
	n.group.Stop()
	n.peerServer.Stop()
	// No duty is left that could answer open requests.
	_ = n.operatorServer.ShutdownWithTimeout(shutdownTimeout)
	_ = n.metricsServer.ShutdownWithTimeout(shutdownTimeout)
}

// Wait blocks until the process has stopped, closes the data folder, and
// returns the error of the duty that failed, if any.
func (n *Node) Wait() error {
	<-n.group.Context().Done()
	n.shutdown()
	err := n.group.Wait()
	_ = n.disk.Close()
	return err
}
