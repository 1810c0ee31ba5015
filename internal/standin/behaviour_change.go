package standin

// BehaviourChange is the body of POST /behaviour. Fields of the behaviour that the
// body omits keep their values; the other fields take effect once.
type BehaviourChange struct {
	Behaviour
	// Cold resets the capacity to that of a cold start, without a new boot ID.
	Cold bool `json:"cold"`
	// SilenceOpen stops answers on all connections that are open at this time.
	SilenceOpen bool `json:"silenceOpen"`
	// FreezeMs suspends the scheduler for so many milliseconds.
	FreezeMs int64 `json:"freezeMs"`
}
