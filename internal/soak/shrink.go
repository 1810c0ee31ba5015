package soak

// Shrink returns a plan with as few of the faults as it finds to be needed:
// halves, quarters and so on are left out as long as the rest still fails.
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
