// Package router runs a router: its entry for callers, the door to the
// upstream beside it, and its session with control.
package router

import (
	"context"
	"crypto/rand"
	"math/big"
	"net"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/samber/do/v2"
	"google.golang.org/grpc"

	"endivespring/internal/attempt"
	"endivespring/internal/caller"
	"endivespring/internal/clock"
	"endivespring/internal/control"
	"endivespring/internal/door"
	"endivespring/internal/duty"
	"endivespring/internal/event"
	"endivespring/internal/fleet"
	"endivespring/internal/metrics"
	"endivespring/internal/peer"
	"endivespring/internal/ring"
	"endivespring/internal/routing"
	"endivespring/internal/session"
	"endivespring/internal/settings"
	"endivespring/internal/upstream"
	"endivespring/internal/wire/wirepb"
)

const (
	runCapacity        = 256  // runs waiting for a sender
	delegationCapacity = 256  // runs waiting for the entry
	updateCapacity     = 64   // view and lease updates
	noticeCapacity     = 16   // announcements
	doorCapacity       = 8192 // calls waiting for the door duty
	answerRingLength   = 8192 // answers waiting for the entry duty

	closeTimeout = time.Second // longest wait for the session's end
	// stopLinger is how long a stopping router takes requests at least, so that
	// callers with open connections and other entries learn of the stop.
	stopLinger = 500 * time.Millisecond
)

// Node is a router process.
type Node struct {
	settings *settings.Router
	group    *duty.Group
	events   *event.Log
	clock    clock.Clock
	entry    *entryDuty
	door     *doorDuty
	session  *sessionDuty
	caller   *caller.Server
	announce *fiber.App
	grpc     *grpc.Server
	registry *metrics.Registry
	metrics  *fiber.App
}

// Start opens the listeners and starts the duties. The injector provides
// *settings.Router, *event.Log, *metrics.Registry and clock.Clock.
func Start(ctx context.Context, injector do.Injector) (*Node, error) {
	n := &Node{
		settings: do.MustInvoke[*settings.Router](injector), events: do.MustInvoke[*event.Log](injector),
		clock: do.MustInvoke[clock.Clock](injector), group: duty.NewGroup(ctx),
		registry: do.MustInvoke[*metrics.Registry](injector),
	}
	addresses := []string{n.settings.Caller, n.settings.Announce, n.settings.Peer}
	if n.settings.Metrics != "" {
		addresses = append(addresses, n.settings.Metrics)
	}
	listeners, err := listenAll(addresses...)
	if err != nil {
		n.group.Stop()
		return nil, err
	}
	n.build()
	n.run(listeners)
	n.events.Record(event.ProcessStarted, event.F("role", "router"), event.F("name", n.settings.Name))
	return n, nil
}

func listenAll(addresses ...string) ([]net.Listener, error) {
	var listeners []net.Listener
	for _, address := range addresses {
		listener, err := peer.Listen(address)
		if err != nil {
			for _, open := range listeners {
				_ = open.Close()
			}
			return nil, err
		}
		listeners = append(listeners, listener)
	}
	return listeners, nil
}

// build makes the duties and the rings between them.
func (n *Node) build() {
	s := n.settings
	self := fleet.Router{ID: fleet.RouterID(s.Name), DataCentre: fleet.DataCentre(s.DataCentre), Address: s.Reached()}
	answers := ring.New[inboundAnswer]("answers", answerRingLength, ring.Wait)
	submissions := ring.New[submission]("submissions", doorCapacity, ring.Refuse)
	delegations := ring.New[door.Delegation]("delegations", delegationCapacity, ring.Refuse)
	n.entry = &entryDuty{
		self: self.ID, fleet: s.Fleet, core: attempt.New(attemptSettings(s, self)), clock: n.clock, events: n.events, group: n.group,
		requests: ring.New[caller.Request]("requests", s.Entries, ring.Refuse), answers: answers, door: submissions,
		updates: ring.New[session.Update]("entry-updates", updateCapacity, ring.Wait),
		waiting: map[uint64]caller.Request{}, callers: map[uint64]uint64{}, links: map[fleet.RouterID]*link{},
		delegations: delegations, delegated: map[uint64]uint64{},
	}
	n.door = &doorDuty{
		core: door.New(self.ID, self.DataCentre), clock: n.clock, events: n.events, submissions: submissions,
		outcomes:    ring.New[door.Outcome]("outcomes", runCapacity, ring.Wait),
		updates:     ring.New[session.Update]("door-updates", updateCapacity, ring.Wait),
		notices:     ring.New[upstream.Notice]("notices", noticeCapacity, ring.Refuse),
		stop:        ring.New[struct{}]("door-stop", 1, ring.Refuse),
		runs:        ring.New[outboundRun]("runs", runCapacity, ring.Refuse),
		delegations: delegations, cancels: map[uint64]context.CancelFunc{},
		aborts:     ring.New[door.Abort]("aborts", runCapacity, ring.DropOldest),
		releases:   ring.New[[]control.Release]("releases", updateCapacity, ring.Refuse),
		registered: ring.New[registration]("registrations", noticeCapacity, ring.DropOldest),
		lostAfter:  s.Announced.Value(), drained: ring.New[struct{}]("door-drained", 1, ring.DropOldest),
		sinks: map[uint64]answerSink{localLink: &localSink{self: self.ID, answers: answers}},
	}
	n.session = &sessionDuty{
		fleet: s.Fleet, finder: newFinder(s), core: session.New(self, s.Renewal.Value(), rand.Text()),
		clock: n.clock, events: n.events, releases: n.door.releases, registered: n.door.registered,
		closing: ring.New[struct{}]("session-closing", 1, ring.Refuse),
		closed:  ring.New[struct{}]("session-closed", 1, ring.DropOldest),
		entry:   n.entry.updates, door: n.door.updates,
	}
	n.measure(answers, submissions)
	n.caller = caller.NewServer(n.entry.requests, s.MaxBody, metrics.NewRequestMeter(n.registry).Observe)
	n.announce = upstream.NewServer(n.door.notices).App()
	n.grpc = peer.NewServer()
	wirepb.RegisterDoorsServer(n.grpc, &doorServer{fleet: s.Fleet, events: n.events, clock: n.clock, door: submissions})
}

func newFinder(s *settings.Router) *session.Finder {
	if s.ControlPort == 0 {
		return session.NewFinder(s.Control)
	}
	return session.NewOpenFinder(s.ControlAddresses())
}

func attemptSettings(s *settings.Router, self fleet.Router) attempt.Settings {
	policy, _ := routing.ParsePolicy(s.RoutingPolicy)
	return attempt.Settings{
		Routing:   routing.Settings{Seed: randomSeed(), Self: self.ID, DataCentre: self.DataCentre, Policy: policy},
		NoHedging: policy != routing.Estimated,
	}
}

// measure registers the rings and the figures of the duties.
func (n *Node) measure(answers *ring.Ring[inboundAnswer], submissions *ring.Ring[submission]) {
	n.registry.Rings(n.events.Ring(), n.entry.requests, answers, submissions, n.entry.updates,
		n.door.outcomes, n.door.delegations, n.door.updates, n.door.notices, n.door.runs, n.door.aborts, n.door.releases, n.door.registered)
	n.entry.registry = n.registry
	n.door.meter = metrics.NewDoorMeter(n.registry)
	n.session.meter = metrics.NewSessionMeter(n.registry, n.clock)
	n.metrics = metrics.NewServer(n.registry)
}

func (n *Node) run(listeners []net.Listener) {
	n.door.startSender = func() {
		sender := &senderDuty{sender: upstream.NewSender(n.clock, n.events, n.settings.MaxBody), runs: n.door.runs, outcomes: n.door.outcomes}
		n.group.Go("sender", sender.Run)
	}
	n.group.Go("event-log", n.events.Run)
	n.group.Go("entry", n.entry.Run)
	n.group.Go("door", n.door.Run)
	n.group.Go("session", n.session.Run)
	aborts := &abortDuty{canceller: upstream.NewCanceller(), aborts: n.door.aborts}
	n.group.Go("aborts", aborts.Run)
	n.group.Go("caller-server", func(context.Context) error { return n.caller.App().Listener(listeners[0]) })
	n.group.Go("announce-server", func(context.Context) error { return n.announce.Listener(listeners[1]) })
	n.group.Go("peer-server", func(context.Context) error { return peer.Serve(n.grpc, listeners[2]) })
	if len(listeners) > 3 {
		n.group.Go("metrics-server", func(context.Context) error { return n.metrics.Listener(listeners[3]) })
	}
}

// Stop hands shards over, finishes what runs, ends the session and stops the
// process, each within the grace period.
func (n *Node) Stop() {
	n.events.Record(event.ProcessStopping, event.F("name", n.settings.Name))
	ctx, cancel := context.WithTimeout(n.group.Context(), n.settings.Grace.Value())
	defer cancel()
	n.caller.Stop()
	linger := time.NewTimer(stopLinger)
	defer linger.Stop()
	_ = n.door.stop.Put(ctx, struct{}{})
	_, _ = n.door.drained.Take(ctx)
	select {
	case <-linger.C:
	case <-ctx.Done():
	}
	_ = n.caller.App().ShutdownWithContext(ctx)
	_ = n.session.closing.Put(ctx, struct{}{})
	ctx, cancel = context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	_, _ = n.session.closed.Take(ctx)
	n.shutdown()
}

func (n *Node) shutdown() {
	n.group.Stop()
	n.grpc.Stop()
	_ = n.announce.Shutdown()
	_ = n.metrics.Shutdown()
	_ = n.caller.App().Shutdown()
}

// Wait waits until the process has stopped and returns why it failed, if it did.
func (n *Node) Wait() error {
	<-n.group.Context().Done()
	n.shutdown()
	return n.group.Wait()
}

func randomSeed() uint64 {
	limit := new(big.Int).SetUint64(1 << 62)
	value, err := rand.Int(rand.Reader, limit)
	if err != nil {
		return 1
	}
	return value.Uint64()
}
