package soak

// Shrink searches for a smaller plan that still fails. It removes half of the faults
// at a time, then a quarter and so on down to single faults, and keeps each removal
// after which the plan still fails. If fails returns an error, so does Shrink, with
// the smallest failing plan found so far.
func Shrink(plan *Plan, fails func(*Plan) (bool, error)) (*Plan, error) {
	for size := (len(plan.Faults) + 1) / 2; size > 0; size /= 2 {
		for from := 0; from < len(plan.Faults); {
			smaller := *plan
			smaller.Faults = append(append([]Fault(nil), plan.Faults[:from]...), plan.Faults[min(from+size, len(plan.Faults)):]...)
			failed, err := fails(&smaller)
			if err != nil {
				return plan, err
			}
			if failed {
				plan = &smaller
			} else {
				from += size
			}
		}
	}
	return plan, nil
}
