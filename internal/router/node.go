// Package router assembles a router process: the gateway for callers, the executor
// for the upstream beside the router, and the session with the control processes.
// Each runs as duties, long-lived goroutines that own their state and communicate
// over rings.
//
// A router is the sidecar of one upstream, which runs on the same VM. A run is one
// execution of a call at the upstream; a delegated call is sent by the gateway
// to another router, while the executor keeps its deduplication record.
package router

import (
	"context"
	"crypto/rand"
	"math/big"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/rotisserie/eris"
	"github.com/samber/do/v2"
	"google.golang.org/grpc"

	"endivespring/internal/balancer"
	"endivespring/internal/call"
	"endivespring/internal/caller"
	"endivespring/internal/clock"
	"endivespring/internal/duty"
	"endivespring/internal/event"
	"endivespring/internal/executor"
	"endivespring/internal/fleet"
	"endivespring/internal/fsm"
	"endivespring/internal/gateway"
	"endivespring/internal/memory"
	"endivespring/internal/metrics"
	"endivespring/internal/peer"
	"endivespring/internal/ring"
	"endivespring/internal/session"
	"endivespring/internal/settings"
	"endivespring/internal/upstream"
	"endivespring/internal/wire/wirepb"
)

const (
	runCapacity           = 256  // runs queued for the senders
	delegationCapacity    = 256  // delegated runs queued for the gateway duty
	updateCapacity        = 64   // view and lease updates queued for one duty
	notificationCapacity  = 16   // announcements and heartbeats queued for the executor duty
	submissionCapacity    = 8192 // calls queued for the executor duty
	nestedCallCapacity    = 256  // nested requests of which the executor duty is told
	waitCapacity          = 64   // waits at services of which the executor duty is told
	gatewayAnswerCapacity = 8192 // answers queued for the gateway duty

	strangerMemory = 1 << 20 // bytes from connections to the peer port that have not named the fleet

	closeTimeout = time.Second // limit on closing the session
	// presetWait is how long a router that starts lets callers' connections wait for its
	// first preset and the lease to use it, before it accepts them and refuses their requests. Callers give up on
	// a connection after a second.
	presetWait = 700 * time.Millisecond
	// retireLead is how long before a stopping router with a front end takes no new calls
	// it withdraws its upstream, so that other gateways have turned to others by then.
	retireLead = 200 * time.Millisecond
	// linkCloseTime is how long the links to a stopping router stay open after the other
	// routers were asked to send no more calls on them, and flushTimeout the limit on
	// sending the last answers.
	linkCloseTime = 200 * time.Millisecond
	flushTimeout  = 500 * time.Millisecond
	// serverCloseTime is the limit on closing the servers once the duties have stopped, and
	// exitTime that on the end of the duties. Both fit into the time between the end of the
	// grace period and the kill.
	serverCloseTime = 100 * time.Millisecond
	exitTime        = 200 * time.Millisecond
	// stopLinger is the minimum time for which a stopping router still accepts
	// requests, so that callers with open connections and the gateways of other
	// routers learn of the stop.
	stopLinger = 500 * time.Millisecond
)

// Node is a router process: its duties, servers and the rings between them.
type Node struct {
	settings *settings.Router
	source   *settings.Source[settings.Router]
	group    *duty.Group
	events   *event.Log
	clock    clock.Clock
	gateway  *gatewayDuty
	executor *executorDuty
	session  *sessionDuty
	caller   *caller.Server
	announce *fiber.App
	guard    *peer.Guard
	grpc     *grpc.Server
	registry *metrics.Registry
	metrics  *fiber.App
	// frontEnd is the additional front end named in the settings, or nil. gatewayClient
	// submits its requests to the gateway duty.
	frontEnd      FrontEnd
	gatewayClient *caller.GatewayClient
	readiness     readiness
	// hasPreset is signalled once the router has had a lease of a view with a preset.
	hasPreset *ring.Ring[struct{}]
	// requestMemory is what large requests of callers and of other routers may use.
	requestMemory *memory.Budget
	// requestBuffers makes the buffers of large bodies of requests.
	requestBuffers *memory.Buffers
	// answerMemory is what large answers may use that are read from the upstream. Answers that are
	// sent have a budget of their own, so that slow callers do not keep others from being read.
	answerMemory *memory.Budget
	// callerMemory is what callers' connections share.
	callerMemory *caller.Memory
	// callersDone is signalled once the front end has answered all requests that
	// it has read.
	callersDone *ring.Ring[struct{}]
	// stopCallers closes the callers' listeners. It may be called again.
	stopCallers func()
	stopStarted time.Time
	// executorDrained and gatewayDrained are set once the duties have signalled that they are
	// drained. They are owned by Stop, which sets stopStarted.
	executorDrained, gatewayDrained bool
}

// Start opens the listeners and starts the duties. The injector must provide
// *settings.Router, *settings.Source[settings.Router], *event.Log,
// *metrics.Registry and clock.Clock, and a FrontEnd under the name in the
// settings, if there is one.
func Start(ctx context.Context, injector do.Injector) (*Node, error) {
	n := &Node{
		settings: do.MustInvoke[*settings.Router](injector), source: do.MustInvoke[*settings.Source[settings.Router]](injector), events: do.MustInvoke[*event.Log](injector),
		clock: do.MustInvoke[clock.Clock](injector), group: duty.NewGroup(ctx),
		registry: do.MustInvoke[*metrics.Registry](injector),
	}
	listeners, err := n.listen()
	if err != nil {
		n.group.Stop()
		return nil, err
	}
	if n.frontEnd, err = findFrontEnd(injector, n.settings.FrontEnd.Name); err != nil {
		n.group.Stop()
		listeners.close()
		return nil, err
	}
	n.build()
	n.executor.core.Expect(n.settings.Service)
	n.executor.core.SetHoldLimits(n.settings.MaxHold.Value(), n.settings.UpstreamDrain.Value())
	n.executor.core.SetLoad(executorLoad(&n.settings.Load))
	n.run(listeners)
	budgets := n.settings.Budgets()
	n.events.Record(event.ProcessStarted, event.F("role", "router"), event.F("name", n.settings.Name), event.F("connectionMemory", budgets.Connections),
		event.F("requestMemory", budgets.Requests), event.F("answerMemory", budgets.Answers))
	return n, nil
}

// findFrontEnd returns the front end registered under a name, or nil if the name
// is empty.
func findFrontEnd(injector do.Injector, name string) (FrontEnd, error) {
	if name == "" {
		return nil, nil
	}
	frontEnd, err := do.InvokeNamed[FrontEnd](injector, name)
	if err != nil {
		return nil, eris.Errorf("frontEnd.name = %s: unknown front end", name)
	}
	return frontEnd, nil
}

// build creates the duties, the servers and the rings between them.
func (n *Node) build() {
	s, budgets := n.settings, n.settings.Budgets()
	n.requestMemory = memory.NewBudget(budgets.Requests)
	n.requestBuffers = memory.NewBuffers(n.requestMemory)
	self := fleet.Router{ID: fleet.RouterID(s.Name), DataCentre: fleet.DataCentre(s.DataCentre), Address: s.AdvertisedAddress(), TakesParts: true}
	answers := ring.New[*inboundAnswer]("answers", gatewayAnswerCapacity, ring.Wait)
	submissions := ring.New[*submission]("submissions", submissionCapacity, ring.Refuse)
	delegations := ring.New[executor.Delegation]("delegations", delegationCapacity, ring.Refuse)
	nestedCalls := ring.New[call.NestedCall]("nested-calls", nestedCallCapacity, ring.DropOldest)
	waits := ring.New[call.ServiceWait]("service-waits", waitCapacity, ring.DropOldest)
	n.gateway = &gatewayDuty{
		self: self.ID, fleet: s.Fleet, core: gateway.New(gatewaySettings(s, self)), clock: n.clock, events: n.events, group: n.group,
		requests: ring.New[*caller.Request]("requests", s.MaxRequests, ring.Refuse), answers: answers, executor: submissions,
		updates: ring.New[session.Update]("entry-updates", updateCapacity, ring.Wait),
		pending: map[uint64]*caller.Request{}, tokens: map[uint64]uint64{}, links: map[fleet.RouterID]*link{},
		readiness: &n.readiness,
		stop:      ring.New[stopStep]("gateway-stop", int(stopSteps), ring.Refuse), drained: ring.New[struct{}]("gateway-drained", 1, ring.DropOldest),
		questions:   ring.New[*whereQuestion]("questions", questionCapacity, ring.Refuse),
		delegations: delegations, delegatedRuns: map[uint64]uint64{}, nestedCalls: nestedCalls, waits: waits,
	}
	n.executor = &executorDuty{
		core: executor.New(self.ID, self.DataCentre), clock: n.clock, events: n.events, submissions: submissions,
		outcomes:      ring.New[executor.Outcome]("outcomes", runCapacity, ring.Wait),
		updates:       ring.New[session.Update]("door-updates", updateCapacity, ring.Wait),
		notifications: ring.New[upstream.Notification]("notices", notificationCapacity, ring.Refuse),
		nestedCalls:   nestedCalls, waits: waits,
		stop:        ring.New[stopStep]("door-stop", int(stopSteps), ring.Refuse),
		runs:        ring.New[outboundRun]("runs", runCapacity, ring.Refuse),
		delegations: delegations, cancels: map[uint64]context.CancelFunc{}, departures: departures{},
		aborts:        ring.New[executor.Abort]("aborts", runCapacity, ring.DropOldest),
		releases:      ring.New[[]fsm.ShardRelease]("releases", updateCapacity, ring.Refuse),
		ranges:        newRangeRings(),
		rangeUpdates:  ring.New[rangeUpdate]("range-news", updateCapacity, ring.Refuse),
		registrations: ring.New[registration]("registrations", notificationCapacity, ring.DropOldest),
		startMillis:   time.Now().UnixMilli(), contactTimeout: s.AnnounceTimeout.Value(), drained: ring.New[struct{}]("door-drained", 1, ring.DropOldest),
		sinks: map[uint64]answerSink{localLink: &localSink{self: self.ID, answers: answers}},
	}
	n.gateway.stopSchedule, n.executor.stopSchedule = newStopSchedule(s), newStopSchedule(s)
	n.executor.core.LearnCapacity(s.Load.LearnCapacity)
	n.executor.core.SetEarlyReports(s.Load.Reports)
	n.session = &sessionDuty{
		fleet: s.Fleet, finder: newFinder(s), core: session.New(self, s.Renewal.Value(), rand.Text()),
		clock: n.clock, events: n.events, releases: n.executor.releases, registrations: n.executor.registrations, rangeUpdates: n.executor.rangeUpdates,
		closing: ring.New[struct{}]("session-closing", 1, ring.Refuse),
		closed:  ring.New[struct{}]("session-closed", 1, ring.DropOldest),
		seeds:   ring.New[[]string]("seeds", 1, ring.DropOldest),
		gateway: n.gateway.updates, executor: n.executor.updates,
	}
	n.registerMetrics(answers, submissions)
	observe := metrics.NewRequestMeter(n.registry).Observe
	n.caller = caller.NewServer(n.clock, n.gateway.requests, s.MaxBody, observe)
	n.gatewayClient = caller.NewGatewayClient(n.clock, n.gateway.requests, observe)
	n.answerMemory = memory.NewBudget(budgets.Answers)
	n.callerMemory = caller.NewMemory(n.clock, caller.MemoryLimits{
		MaxConnections: s.MaxConnections, MaxBody: s.MaxBody, Connections: memory.NewBudget(budgets.Connections), Bodies: n.requestMemory, Answers: memory.NewBudget(budgets.Answers),
		Buffers: n.requestBuffers,
	}, n.events)
	metrics.RegisterCallerMemory(n.registry, n.callerMemory)
	n.gatewayClient.LimitMemory(n.callerMemory)
	n.gateway.client = n.gatewayClient
	n.hasPreset = ring.New[struct{}]("has-preset", 1, ring.DropOldest)
	n.gateway.hasPreset = n.hasPreset
	n.callersDone = ring.New[struct{}]("callers-done", 1, ring.DropOldest)
	n.announce = upstream.NewServer(n.executor.notifications).App()
	n.guard = peer.NewGuard(n.settings.Fleet, strangerMemory)
	n.grpc = n.guard.NewServer()
	wirepb.RegisterDoorsServer(n.grpc, &executorServer{fleet: s.Fleet, events: n.events, clock: n.clock, executor: submissions, buffers: n.requestBuffers})
	wirepb.RegisterExplainerServer(n.grpc, &explainServer{fleet: s.Fleet, events: n.events, questions: n.gateway.questions})
}

func newFinder(s *settings.Router) *session.Finder {
	if s.ControlPort == 0 {
		return session.NewFinder(s.Control)
	}
	return session.NewDynamicFinder(s.ControlAddresses())
}

func executorLoad(s *settings.Load) executor.LoadSettings {
	return executor.LoadSettings{QueueByTime: s.QueueByTime, ShareFloor: s.ShareFloor, ParentAdmission: s.ParentAdmission}
}

func gatewaySettings(s *settings.Router, self fleet.Router) gateway.Settings {
	policy, _ := balancer.ParsePolicy(s.RoutingPolicy)
	return gateway.Settings{
		Balancer:  balancer.Settings{Seed: randomSeed(), Self: self.ID, DataCentre: self.DataCentre, Policy: policy, Reports: s.Load.Reports},
		NoHedging: policy != balancer.Estimated, ReportNested: s.Load.ParentAdmission, QueueByTime: s.Load.QueueByTime,
	}
}

// registerMetrics registers the metrics of the rings and duties.
func (n *Node) registerMetrics(answers *ring.Ring[*inboundAnswer], submissions *ring.Ring[*submission]) {
	n.registry.RegisterRings(n.events.Ring(), n.gateway.requests, n.gateway.questions, answers, submissions, n.gateway.updates,
		n.executor.outcomes, n.executor.delegations, n.executor.updates, n.executor.notifications, n.executor.nestedCalls, n.executor.waits, n.executor.runs, n.executor.aborts, n.executor.releases, n.executor.registrations, n.executor.rangeUpdates,
		n.executor.ranges.grants, n.executor.ranges.releases, n.executor.ranges.responses)
	n.gateway.registry = n.registry
	if n.settings.Load.Reports {
		meter := metrics.NewLoadMeter(n.registry)
		n.gateway.loadMeter, n.executor.reporter = meter, newLoadReporter(meter)
	}
	n.executor.meter = metrics.NewExecutorMeter(n.registry)
	n.session.meter = metrics.NewSessionMeter(n.registry, n.clock)
	n.gateway.meter = n.session.meter
	n.metrics = metrics.NewServer(n.registry)
}

func randomSeed() uint64 {
	limit := new(big.Int).SetUint64(1 << 62)
	value, err := rand.Int(rand.Reader, limit)
	if err != nil {
		return 1
	}
	return value.Uint64()
}
