package settings

// Placement configures how control processes place ranges of keys.
type Placement struct {
	Interleave int  `json:"interleave" default:"0" min:"0" max:"32" doc:"Pieces for each upstream into which a new key space is cut, so that a dense region of keys falls on many upstreams. 0 for one piece each."`
	ByCapacity bool `json:"byCapacity" default:"false" doc:"Divides keys by the learned capacity of upstreams instead of by slots, and moves them only where that serves more requests than the move costs."`
}
