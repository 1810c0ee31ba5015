package event

var guides = map[*Definition]guide{
	ProcessStarted:  {fields: []string{"role", "name", "disk"}},
	ProcessStopping: {fields: []string{"name"}},
	ProcessStopped:  {fields: []string{"error"}},
	LeaderElected:   {fields: []string{"term"}},
	LeaderLost: {fields: []string{"term"},
		action: "Nothing if `status` names a leader within seconds. If it does not, see that most control processes run and reach each other."},
	DiskSetAside: {fields: []string{"folder", "cause"},
		action: "Look at the disk. `status` shows the new identity among the voters once the others have repaired the log; until then no other control process may be lost."},
	MembersChanged: {fields: []string{"voters", "learners"}},
	SessionOpened:  {fields: []string{"router", "session"}},
	SessionExpired: {fields: []string{"session"},
		action: "Look at the router's VM: its process, its clock and its network. The shards move to other upstreams by themselves."},
	SessionClosed: {fields: []string{"session"}},
	SessionRejected: {fields: []string{"router", "session"},
		action: "Nothing once: the router opens a new session. If it repeats, look for two routers with one name."},
	ShardsGranted:   {fields: []string{"shard", "owner", "epoch"}},
	ShardsRevoked:   {fields: []string{"shard", "owner", "epoch"}},
	ShardsReleased:  {fields: []string{"shard", "owner", "epoch"}},
	RangeGranted:    {fields: []string{"service", "first", "last", "owner", "boot", "epoch", "handover"}},
	RangeRevoked:    {fields: []string{"service", "first", "last", "owner", "boot", "epoch", "handover"}},
	RangeFreed:      {fields: []string{"service", "first", "last", "owner", "boot", "epoch", "handover"}},
	CommandAccepted: {fields: []string{"command", "operator", "config", "reason"}},
	CommandRefused: {fields: []string{"command", "operator", "config", "reason"},
		action: "Read the reason. If the config version moved, another operator was first: look at `status`, then decide again."},
	ViewApplied: {fields: []string{"version", "full"}},
	ViewExpired: {action: "See that control has a leader (`status`) and that this VM reaches the control processes. The router takes work again by itself once it does."},
	ViewRenewed: {},
	RequestRouted: {fields: []string{
		"request", "service", "operation", "router", "upstream", "try", "sharded", "shard", "hedge", "why", "among"}},
	RequestRetried:  {fields: []string{"request", "reason", "verdict"}},
	RequestFinished: {fields: []string{"request", "service", "operation", "verdict", "reason", "upstream"}},
	AnswerDropped: {fields: []string{"request", "router", "upstream"},
		action: "Nothing for single ones: the caller was told the truth in time. Many from one router point at a slow upstream or network there."},
	RequestRefused:    {fields: []string{"request", "service", "operation", "verdict", "reason", "shard"}},
	UpstreamAnnounced: {fields: []string{"upstream", "service", "boot"}},
	UpstreamLeft:      {fields: []string{"upstream"}},
	UpstreamLost: {fields: []string{"upstream"},
		action: "Look at the upstream's process on that VM. Its work goes to others until it announces itself again."},
	LimitChanged: {fields: []string{"upstream", "limit", "cause"}},
	ConnectionRetired: {fields: []string{"peer", "router", "address", "cause"},
		action: "Nothing for single ones: a new connection is in use. Many to one VM point at its network."},
	PeerConnected: {fields: []string{"router", "address"}},
	PeerLost: {fields: []string{"router"},
		action: "Nothing if that router was stopped. Else look at its VM; a new link is opened with the next request."},
	FleetRefused: {fields: []string{"fleet", "address"},
		action: "Find the process at that address and correct `fleet` or the addresses in its settings."},
	RefusedByFleet: {fields: []string{"address", "fleet"},
		action: "Correct `fleet` or the addresses in this process's settings and start it again."},
}

// Fields returns the names of the event's fields.
func (d *Definition) Fields() []string { return guides[d].fields }

// Action returns what an operator does about the event; empty for Info.
func (d *Definition) Action() string { return guides[d].action }
