package gateway

// timers is a heap of pending requests, with the earliest timer first. It
// implements heap.Interface.
type timers []*pendingRequest

// Len returns the number of requests.
func (t timers) Len() int { return len(t) }

// Less reports whether request i has an earlier timer than request j.
func (t timers) Less(i, j int) bool { return t[i].timer < t[j].timer }

// Swap exchanges two requests and updates their indexes.
func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].timerIndex, t[j].timerIndex = i, j
}

// Push appends a request.
func (t *timers) Push(x any) {
	added := x.(*pendingRequest)
	added.timerIndex = len(*t)
	*t = append(*t, added)
}

// Pop removes and returns the last request.
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	(*t)[len(*t)-1] = nil
	*t = (*t)[:len(*t)-1]
	return last
}
