package executor

// LoadSettings turn parts of the queueing under contention on. The zero value has none.
type LoadSettings struct {
	// QueueByTime bounds the queue by the time in which a call must start.
	QueueByTime bool
	// ShareFloor is the part of its share of the demand for slot time that each operation
	// gets, or zero.
	ShareFloor float64
	// ParentAdmission refuses calls whose nested calls would wait for too long.
	ParentAdmission bool
}

// timed reports whether waits are estimated from expected run times.
func (s *LoadSettings) timed() bool { return s.QueueByTime || s.ShareFloor > 0 }
