package admission

// LearnedChange is a change of the learned limit with its inputs.
type LearnedChange struct {
	From, To int
	// Ratio is the throughput under the new limit in relation to that under the
	// other limit of the trial, and Pairs the number of comparisons.
	Ratio float64
	Pairs int
	// Compared is the other limit of the trial.
	Compared int
}
