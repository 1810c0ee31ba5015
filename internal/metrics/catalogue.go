// Package metrics is the metrics registry of a process and its Prometheus text
// endpoint.
package metrics

// The metric families of routers and control processes.
var (
	RingDepth    = define("ring_depth", Gauge, "ring", "Items queued in a ring between duties.")
	RingCapacity = define("ring_capacity", Gauge, "ring", "Capacity of a ring, in items.")
	RingRefused  = define("ring_refused_total", Counter, "ring", "Items refused because a ring was full.")
	RingDropped  = define("ring_dropped_total", Counter, "ring", "Oldest items discarded because a ring was full.")

	Events        = define("events_total", Counter, "event, name", "Occurrences of each numbered event.")
	EventsDropped = define("events_dropped_total", Counter, "", "Events discarded because the event log was written too slowly.")

	Requests       = define("requests_total", Counter, "verdict, reason, service, route", "Callers' requests answered by this gateway. Service and route are empty if unknown, and other once 512 label combinations exist.")
	RequestLatency = define("request_latency_microseconds", Summary, "quantile", "Time from reading a caller's request to its answer, in microseconds.")

	CallerBytes       = define("caller_memory_bytes", Gauge, "budget", "Memory that callers' requests and answers hold of a budget, in bytes: connections, bodies or answers.")
	CallerConnections = define("caller_connections", Gauge, "", "Open connections of callers.")
	CallerRefusals    = define("caller_refused_total", Counter, "cause", "Requests refused and connections closed because of the limits on callers' memory and connections.")

	ExecutorLimit        = define("door_limit", Gauge, "", "Concurrency limit of the executor towards the upstream, in requests.")
	ExecutorRunning      = define("door_running", Gauge, "", "Requests running at the upstream.")
	ExecutorQueued       = define("door_queued", Gauge, "", "Requests queued at the executor.")
	ExecutorLearnedLimit = define("door_learned_limit", Gauge, "", "Limit for requests at the upstream that was learned from run times; 0 if none is learned.")
	ExecutorSlowdown     = define("door_slowdown_percent", Gauge, "", "How long work at the upstream takes, as it states itself, in percent of the usual time; 0 if it does not state it.")
	ExecutorWait         = define("door_wait_milliseconds", Gauge, "", "Estimated wait for a slot of a request that arrives now, in milliseconds.")
	ExecutorRefused      = define("door_refused_total", Counter, "why", "Requests refused by the executor for lack of capacity, by the rule: wait, room, share or parent.")
	OperationQueued      = define("operation_queued", Gauge, "operation, nested", "Requests of an operation queued at the executor, with load.shareFloor.")
	OperationAsked       = define("operation_asked_percent", Gauge, "operation, nested", "Share of an operation in the slot time asked for in the last seconds, with load.shareFloor.")
	OperationGiven       = define("operation_given_percent", Gauge, "operation, nested", "Share of an operation in the slot time given in the last seconds, with load.shareFloor.")
	LoadReports          = define("load_reports_total", Counter, "result", "Load reports between answers: sent to gateways, received by this gateway, and dropped because a ring was half full. Zero without load.reports.")
	RefusedHere          = define("gateway_refusals_total", Counter, "", "Requests that this gateway refused without a try, since every executor reported too long a wait.")
	Overflow             = define("gateway_overflow_total", Counter, "", "Calls that this gateway sent to another data centre because every executor of its own reported a longer wait.")
	RangeRequests        = define("range_requests_total", Counter, "kind, result", "Grants and releases of key ranges that were sent to the upstream, by what is known of them.")

	OwnershipLeft = define("ownership_lease_left_milliseconds", Gauge, "", "Time left on the ownership lease, under which this router serves its shards, in milliseconds; 0 once it has expired.")
	ViewLeft      = define("view_lease_left_milliseconds", Gauge, "", "Time left on the view lease, under which this router accepts new requests, in milliseconds; 0 once it has expired.")
	ViewAge       = define("view_age_milliseconds", Gauge, "", "Time since the view in use is known to have been current, in milliseconds; -1 if there is no view.")
	ViewVersion   = define("view_version", Gauge, "", "Version of the view in use.")

	LogCommit     = define("log_commit_index", Gauge, "", "Index of the last committed entry of the control log.")
	LogApplied    = define("log_applied_index", Gauge, "", "Index of the last entry applied to the state machine.")
	LogSnapshot   = define("log_snapshot_index", Gauge, "", "Index of the last entry included in the latest snapshot.")
	LogTerm       = define("log_term", Gauge, "", "Current term of the control log.")
	IsLeader      = define("leads", Gauge, "", "1 if this control process is the leader, else 0.")
	Sessions      = define("sessions", Gauge, "", "Open sessions of routers.")
	ConfigVersion = define("config_version", Gauge, "", "Operator changes in use at this process's gateway, or accepted so far at a control process.")
	RoutersBehind = define("routers_behind", Gauge, "", "Routers with an open session that have not reported the latest operator change as applied to this leader; 0 at other processes.")

	KeyMoves  = define("key_moves_total", Counter, "", "Moves of keys by capacity that this control process has planned as leader.")
	KeyRanges = define("key_ranges", Gauge, "", "Ranges of keys in the key spaces of all services.")

	Goroutines   = define("goroutines", Gauge, "", "Goroutines of the process.")
	HeapBytes    = define("heap_bytes", Gauge, "", "Memory in use by the Go heap, in bytes.")
	RuntimeBytes = define("runtime_bytes", Gauge, "", "Memory mapped by the Go runtime, in bytes.")
)

var catalogue []*Family

func define(name string, kind Kind, labels, help string) *Family {
	f := &Family{Name: "endivespring_" + name, Kind: kind, Labels: labels, Help: help}
	catalogue = append(catalogue, f)
	return f
}

// Catalogue returns every family in the order of definition.
func Catalogue() []*Family { return catalogue }
