package settings

// duplicateAddresses reports addresses that are used by more than one field. The
// arguments alternate between a field and its address; empty addresses are not
// set and are ignored.
func duplicateAddresses(pairs ...string) Problems {
	var problems Problems
	used := map[string]string{}
	for i := 0; i+1 < len(pairs); i += 2 {
		field, address := pairs[i], pairs[i+1]
		if other, ok := used[address]; ok && address != "" {
			problems = append(problems, Problem{Field: field, Value: address, Message: "is also the address of " + other})
			continue
		}
		used[address] = field
	}
	return problems
}
