package standin

// Change is the body of POST /behaviour. Fields of the behaviour that it does
// not name stay as they are; the others act once.
type BehaviourChange struct {
	Behaviour
	// Cold turns the stand-in cold again, without a new boot id.
	Cold bool `json:"cold"`
	// SilenceOpen stops answers on all connections that are open now.
	SilenceOpen bool `json:"silenceOpen"`
	// FreezeMs stops all work for so many milliseconds.
	FreezeMs int64 `json:"freezeMs"`
}
