package event

// The events of the system. 1xx: processes; 2xx: control log and sessions;
// 3xx: placement and ownership; 4xx: operator commands; 5xx: routing;
// 6xx: door and admission; 7xx: upstream connections.
var (
	ProcessStarted     = define(100, "process-started", Info, "The process is ready to serve.")
	ProcessStopping    = define(101, "process-stopping", Info, "The process finishes its work before it exits.")
	ProcessStopped     = define(102, "process-stopped", Info, "The process has finished and exits.")
	SettingsReloaded   = define(103, "settings-reloaded", Info, "The process read its settings anew.")
	SettingsRefused    = define(104, "settings-refused", Warn, "The process could not use its settings file as it is now; the settings that it had hold on.")
	LinesOmitted       = define(105, "lines-omitted", Info, "Lines of one kind were left out of this log, since there were too many; counters count them all.")
	LeaderElected      = define(200, "leader-elected", Info, "This voter leads the control log.")
	LeaderLost         = define(201, "leader-lost", Warn, "This voter no longer leads the control log.")
	DiskSetAside       = define(202, "disk-set-aside", Alarm, "The data folder was damaged; its files were moved aside and the process joins with a new disk identity.")
	MembersChanged     = define(203, "members-changed", Info, "The voters or learners of the control log changed, as this process knows them.")
	SessionOpened      = define(210, "session-opened", Info, "A router opened a session.")
	SessionExpired     = define(211, "session-expired", Warn, "A router's session lapsed; its shards are free to grant.")
	SessionClosed      = define(212, "session-closed", Info, "A router closed its session.")
	SessionRejected    = define(213, "session-rejected", Warn, "A renewal named a session that is not current.")
	ShardsGranted      = define(300, "shards-granted", Info, "Shards were granted to a router with a new epoch.")
	ShardsRevoked      = define(301, "shards-revoked", Info, "Shards were asked back from their owner.")
	ShardsReleased     = define(302, "shards-released", Info, "The owner finished its work and gave shards back.")
	RangeGranted       = define(303, "range-granted", Info, "A range of keys was granted to one start of an upstream with a new epoch.")
	RangeRevoked       = define(304, "range-revoked", Info, "A range of keys was asked back from its holder.")
	RangeFreed         = define(305, "range-freed", Info, "A range of keys was given back, or its holder is gone.")
	CommandAccepted    = define(400, "command-accepted", Info, "An operator's command was committed.")
	CommandRefused     = define(401, "command-refused", Warn, "An operator's command was refused.")
	CommandMalformed   = define(402, "command-malformed", Warn, "An operator's command could not be read; nothing was done.")
	ViewApplied        = define(500, "view-applied", Info, "The router applied a newer view.")
	ViewExpired        = define(501, "view-expired", Alarm, "The router's view lapsed; it refuses new work until it reaches the control leader.")
	ViewRenewed        = define(502, "view-renewed", Info, "The router's view is current again; it takes new work.")
	RequestRouted      = define(510, "request-routed", Info, "The entry chose a door for a request.")
	RequestRetried     = define(511, "request-retried", Info, "The entry tries a request again at another door.")
	RequestFinished    = define(512, "request-finished", Info, "The entry answered a request.")
	AnswerDropped      = define(520, "answer-dropped", Warn, "A late or crossed answer was dropped.")
	RequestRefused     = define(600, "request-refused", Info, "The door refused a request before it ran.")
	RunFailed          = define(601, "run-failed", Info, "A request that was given to the upstream got no whole answer, or was refused there.")
	UpstreamAnnounced  = define(610, "upstream-announced", Info, "An upstream announced itself to the router beside it.")
	UpstreamLeft       = define(611, "upstream-left", Info, "An upstream announced that it leaves.")
	UpstreamLost       = define(612, "upstream-lost", Warn, "An upstream stopped announcing itself.")
	KeysLent           = define(613, "keys-lent", Info, "The door told its upstream which ranges of keys it holds; the list changed.")
	KeysNotRenewed     = define(614, "keys-not-renewed", Warn, "The door could not renew what its upstream holds, since its own lease is about to end.")
	HeartbeatLate      = define(615, "heartbeat-late", Warn, "A heartbeat came after a newer one, or after the upstream was gone; it changed nothing.")
	HeartbeatMalformed = define(617, "heartbeat-malformed", Warn, "A heartbeat could not be read, or comes from another address than the upstream's; it changed nothing.")
	RangesUnreported   = define(616, "ranges-unreported", Warn, "The door could not tell control of ranges of keys, since its ring is full; it tries again.")
	LimitChanged       = define(620, "limit-changed", Info, "The door changed the upstream's admission limit.")
	ConnectionRetired  = define(700, "connection-retired", Warn, "A connection missed a deadline and is not used again.")
	PeerConnected      = define(710, "peer-connected", Info, "A link to another router was opened.")
	PeerLost           = define(711, "peer-lost", Warn, "A link to another router was lost.")
	FleetRefused       = define(720, "fleet-refused", Warn, "This process refused a stream from a process of another fleet.")
	RefusedByFleet     = define(721, "refused-by-fleet", Alarm, "A process of another fleet refused this one.")
)

var catalogue []*Definition

func define(number int, name string, level Level, meaning string) *Definition {
	d := &Definition{Number: number, Name: name, Level: level, Meaning: meaning, index: len(catalogue)}
	catalogue = append(catalogue, d)
	return d
}

// Catalogue returns every event in the order of definition.
func Catalogue() []*Definition { return catalogue }
