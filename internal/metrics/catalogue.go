// Package metrics holds the figures of a process and serves them as text that
// common scrapers read.
package metrics

// The metric families of the system.
var (
	RingDepth    = define("ring_depth", Gauge, "ring", "Items waiting in a ring between duties.")
	RingCapacity = define("ring_capacity", Gauge, "ring", "Largest number of items that a ring holds.")
	RingRefused  = define("ring_refused_total", Counter, "ring", "Items that a full ring refused.")
	RingDropped  = define("ring_dropped_total", Counter, "ring", "Items that a full ring discarded.")

	Events        = define("events_total", Counter, "event, name", "Occurrences of each numbered event.")
	EventsDropped = define("events_dropped_total", Counter, "", "Events that were not written because the log was too slow.")

	Requests       = define("requests_total", Counter, "verdict, reason, service, route", "Callers' requests answered by this entry. Service and route are empty if the entry did not know them, and other beyond 512 counters.")
	RequestLatency = define("request_latency_microseconds", Summary, "quantile", "Time from reading a caller's request to its answer, in microseconds.")

	ExecutorLimit   = define("door_limit", Gauge, "", "Requests that the door gives the upstream at once.")
	ExecutorRunning = define("door_running", Gauge, "", "Requests running at the upstream.")
	ExecutorQueued  = define("door_queued", Gauge, "", "Requests waiting at the door.")

	OwnershipLeft = define("ownership_lease_left_milliseconds", Gauge, "", "Time for which this router may still serve its shards; 0 if it may not.")
	ViewLeft      = define("view_lease_left_milliseconds", Gauge, "", "Time for which this router may still take new work; 0 if it may not.")
	ViewVersion   = define("view_version", Gauge, "", "Version of the view in use.")

	LogCommit     = define("log_commit_index", Gauge, "", "Last committed entry of the control log.")
	LogApplied    = define("log_applied_index", Gauge, "", "Last entry applied to the state.")
	LogSnapshot   = define("log_snapshot_index", Gauge, "", "Entry that the latest snapshot includes.")
	LogTerm       = define("log_term", Gauge, "", "Term of the control log.")
	Leads         = define("leads", Gauge, "", "1 if this control process leads, else 0.")
	Sessions      = define("sessions", Gauge, "", "Open sessions of routers.")
	ConfigVersion = define("config_version", Gauge, "", "Operator changes accepted so far.")

	Goroutines   = define("goroutines", Gauge, "", "Goroutines of the process.")
	HeapBytes    = define("heap_bytes", Gauge, "", "Memory in use by the Go heap, in bytes.")
	RuntimeBytes = define("runtime_bytes", Gauge, "", "Memory that the Go runtime holds, in bytes.")
)

var catalogue []*Family

func define(name string, kind Kind, labels, meaning string) *Family {
	f := &Family{Name: "endivespring_" + name, Kind: kind, Labels: labels, Meaning: meaning}
	catalogue = append(catalogue, f)
	return f
}

// Catalogue returns every family in the order of definition.
func Catalogue() []*Family { return catalogue }
