package event

// The events by number. 1xx: processes; 2xx: control log and sessions; 3xx:
// placement and ownership; 4xx: operator commands; 5xx: views and gateway; 6xx:
// executor and upstream; 7xx: connections to upstreams and other processes, and
// refusals between fleets.
//
// `explain --request` prints the descriptions of events with a request ID. They keep
// `entry` and `door`, the names that operators see for gateway and executor, because
// the output of different builds is compared.
var (
	ProcessStarted     = define(100, "process-started", Info, "The process is ready to serve.")
	ProcessStopping    = define(101, "process-stopping", Info, "The process finishes its running work and then exits.")
	ProcessStopped     = define(102, "process-stopped", Info, "The process has stopped and exits; `error` names the failure, if any.")
	SettingsReloaded   = define(103, "settings-reloaded", Info, "The process reloaded its settings; only the addresses of control processes take effect before a restart.")
	SettingsRefused    = define(104, "settings-refused", Warn, "The settings file could not be read or is invalid; the previous settings stay in effect.")
	LinesOmitted       = define(105, "lines-omitted", Info, "Lines of one kind were omitted from this log because they exceeded the rate limit; the counters include them.")
	HandlerFailed      = define(106, "handler-failed", Alarm, "Handling a request of the front end failed unexpectedly; it was answered with 500, and the process goes on.")
	DutyDelayed        = define(107, "duty-delayed", Info, "The session duty ran later than its timer was due: the process had no processor time, or its VM was suspended. What arrived meanwhile was read late.")
	StopProgressed     = define(108, "stop-progressed", Info, "A duty of a stopping router took the next `step` of the stop: `begin`, `retire`, `finish`, `refuse-waiting`, `abort-runs`, `end-requests` or `end-links`. What is open then: `requests` are those of callers, of which `waiting` have no call in flight; `queued`, `running` and `delegated` are calls at the executor, `links` those of other routers to it.")
	DutiesOutstanding  = define(109, "duties-outstanding", Warn, "The process exits while the named duties still wait for something.")
	LeaderElected      = define(200, "leader-elected", Info, "This voter became leader of the control log.")
	LeaderLost         = define(201, "leader-lost", Warn, "This voter is no longer leader of the control log.")
	DiskQuarantined    = define(202, "disk-set-aside", Alarm, "The data folder was damaged; its files were quarantined and the process joins with a new disk identity.")
	MembersChanged     = define(203, "members-changed", Info, "The voters or learners of the control log, as known to this process, changed.")
	SessionOpened      = define(210, "session-opened", Info, "A router opened a session.")
	SessionExpired     = define(211, "session-expired", Warn, "A router's session expired; its shards can be granted again.")
	SessionClosed      = define(212, "session-closed", Info, "A router closed its session.")
	SessionRejected    = define(213, "session-rejected", Warn, "A renewal named a session that is not current.")
	ShardsGranted      = define(300, "shards-granted", Info, "Shards were granted to a router under a new epoch.")
	ShardsRevoked      = define(301, "shards-revoked", Info, "Shards were revoked; their owner finishes its running work and then releases them.")
	ShardsReleased     = define(302, "shards-released", Info, "The owner finished its running work and released shards.")
	RangeGranted       = define(303, "range-granted", Info, "A range of keys was granted under a new epoch to an upstream with the given boot ID.")
	RangeRevoked       = define(304, "range-revoked", Info, "A range of keys was revoked from its holder.")
	RangeFreed         = define(305, "range-freed", Info, "A range of keys can be granted again: it was released, or its holder is gone.")
	RangeMoved         = define(306, "range-moved", Info, "The leader planned to move keys of an overloaded upstream: `gain` is the number of requests served in addition in the next 4 s, and `cost` that of those that arrive during the move. `load`, `demand`, `capacity` and `room` are in requests a second; `to` is the intended next holder.")
	CommandAccepted    = define(400, "command-accepted", Info, "An operator's command was committed.")
	CommandRefused     = define(401, "command-refused", Warn, "An operator's command was refused.")
	CommandMalformed   = define(402, "command-malformed", Warn, "An operator's command could not be decoded; nothing was changed.")
	CommandAbandoned   = define(405, "command-abandoned", Info, "An operator's command without a base version was not executed because its caller had closed the connection: it may be an earlier attempt of a command that was executed since.")
	CommandAnswered    = define(406, "command-answered", Info, "A control process answered an attempt of an operator's command: accepted or refused once it was committed, redirected to the leader, or why not. `queued` is the time until the controller took it up, `took` that until its answer.")
	ConfigInForce      = define(403, "config-in-force", Info, "Every router with an open session has applied the operators' commands up to this one.")
	ConfigDelayed      = define(404, "config-delayed", Warn, "Some routers have not applied an operators' command in time.")
	ViewApplied        = define(500, "view-applied", Info, "The router applied a newer view.")
	ViewExpired        = define(501, "view-expired", Alarm, "The router's view lease expired; it refuses new work until it reaches the control leader.")
	ViewRenewed        = define(502, "view-renewed", Info, "The router's view lease is valid again; it takes new work.")
	ConfigApplied      = define(503, "config-applied", Info, "The gateway uses a newer configuration.")
	ViewSkipped        = define(504, "view-skipped", Warn, "A change does not follow the view in use and was not applied.")
	RequestRouted      = define(510, "request-routed", Info, "The entry chose a door for a request.")
	RequestRetried     = define(511, "request-retried", Info, "The entry tries a request again at another door.")
	RequestFinished    = define(512, "request-finished", Info, "The entry answered a request.")
	RequestNotSent     = define(513, "request-not-sent", Info, "The entry refused a request without a try: by the load that the doors report it cannot start in time at any that may run it.")
	AnswerDropped      = define(520, "answer-dropped", Warn, "A late or crossed answer was dropped.")
	CallerRefused      = define(521, "caller-refused", Warn, "A front end refused a caller's request or closed a connection because of its limits on memory and connections; `cause` says which: connections, memory (to read or run the request), slow (it was read, or its answer sent, too slowly while others needed the memory) answer (no memory for an answer that its caller does not read) or descriptors (the process had none to accept a connection with; some connections are closed).")
	RequestRefused     = define(600, "request-refused", Info, "The door refused a request before it ran. For overloaded ones `why` is wait (no start in time), room (queue full), share (its place went to an operation below its floor) or parent (its nested calls would wait for too long); `wait` is the wait of a new call.")
	RunFailed          = define(601, "run-failed", Info, "A request that was given to the upstream got no whole answer, or was refused there.")
	UpstreamAnnounced  = define(610, "upstream-announced", Info, "An upstream announced itself to the router beside it.")
	UpstreamLeft       = define(611, "upstream-left", Info, "An upstream announced that it is draining or exiting.")
	DepartureAbandoned = define(623, "departure-abandoned", Info, "An upstream's departure was ignored because its sender had closed the connection: it may be that of an earlier start of the upstream.")
	UpstreamLost       = define(612, "upstream-lost", Warn, "An upstream stopped announcing itself.")
	KeysLeased         = define(613, "keys-lent", Info, "The executor leased ranges of keys to its upstream: the set of ranges changed, or renewal started or resumed.")
	KeysNotRenewed     = define(614, "keys-not-renewed", Warn, "The executor could not renew its upstream's leases on ranges of keys because its own lease is about to expire.")
	HeartbeatLate      = define(615, "heartbeat-late", Warn, "A heartbeat arrived after a newer one, or after the upstream was gone; it was ignored.")
	HeartbeatMalformed = define(617, "heartbeat-malformed", Warn, "A heartbeat could not be decoded, or names an address other than the upstream's configured one; it was ignored.")
	RangesUnreported   = define(616, "ranges-unreported", Warn, "The executor could not report ranges of keys to control because the ring to the session is full; it retries.")
	KeysConfirmed      = define(618, "keys-confirmed", Info, "The upstream confirmed the first grant of a range of keys that was sent to it.")
	KeysReleased       = define(619, "keys-released", Info, "The upstream confirmed that it has ended its work on a range of keys and released it.")
	RangeRequestFailed = define(621, "range-request-failed", Warn, "A grant or release that was sent to the upstream got no answer or was refused. `result` is fenced if the upstream has seen a higher epoch; that grant is not sent again.")
	UpstreamUnexpected = define(622, "upstream-unexpected", Warn, "An announcement or heartbeat names a service other than the configured one of the upstream beside the router, or one that no preset has; it was ignored.")
	LimitChanged       = define(620, "limit-changed", Info, "The executor changed the upstream's concurrency limit.")
	LimitLearned       = define(624, "limit-learned", Info, "The executor changed the limit that it learned from run times. In a trial, the upstream did `ratio` times as much work under the new limit as under the limit `compared`, in `pairs` pairs of stretches.")
	ConnectionRetired  = define(700, "connection-retired", Warn, "A connection missed a deadline and is not used again.")
	PeerConnected      = define(710, "peer-connected", Info, "A link to another router was opened.")
	PeerLost           = define(711, "peer-lost", Warn, "A link to another router was lost.")
	ControlConnected   = define(712, "control-connected", Info, "The leader answered a renewal on a new stream.")
	ControlLost        = define(713, "control-lost", Warn, "The stream to the leader ended.")
	FleetRefused       = define(720, "fleet-refused", Warn, "This process refused a stream from a process of another fleet.")
	RefusedByFleet     = define(721, "refused-by-fleet", Alarm, "A process of another fleet refused this one.")
)

var catalogue []*Definition

func define(number int, name string, level Level, meaning string) *Definition {
	d := &Definition{Number: number, Name: name, Level: level, Meaning: meaning, index: len(catalogue)}
	catalogue = append(catalogue, d)
	return d
}

// Catalogue returns every event in the order of definition. Callers must not
// modify the slice.
func Catalogue() []*Definition { return catalogue }
