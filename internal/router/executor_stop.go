package router

// executorStop is a step in the graceful shutdown of an executor.
type executorStop uint8

const (
	// stopRetire withdraws the upstream, unless it holds ranges of keys, so that
	// callers and gateways turn to other routers.
	stopRetire executorStop = iota
	// stopFinish accepts no new calls and finishes those that run. The gateways of other
	// routers are asked to send no more.
	stopFinish
	// stopLinks ends the links of other routers, after the answers queued for them.
	stopLinks
)
