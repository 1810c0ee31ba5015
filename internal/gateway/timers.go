package gateway

// timers is a heap of tasks ordered by their next timer.
type timers []*task

// Len returns the number of tasks.
func (t timers) Len() int { return len(t) }

// Less orders by timer.
func (t timers) Less(i, j int) bool { return t[i].timer < t[j].timer }

// Swap exchanges two tasks.
func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].index, t[j].index = i, j
}

// Push appends a task.
func (t *timers) Push(x any) {
	added := x.(*task)
	added.index = len(*t)
	*t = append(*t, added)
}

// Pop removes the last task.
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}
