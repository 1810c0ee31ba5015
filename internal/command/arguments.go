package command

import (
	"flag"
	"strings"
)

// parseArguments returns the arguments that are not flags. Unlike package flag it
// also parses flags after other arguments; nothing after -- is a flag.
func parseArguments(f *flag.FlagSet) ([]string, error) {
	var found []string
	rest := f.Args()
	for len(rest) > 0 {
		switch {
		case rest[0] == "--":
			return append(found, rest[1:]...), nil
		case strings.HasPrefix(rest[0], "-") && rest[0] != "-":
			if err := f.Parse(rest); err != nil {
				return nil, err
			}
			rest = f.Args()
		default:
			found, rest = append(found, rest[0]), rest[1:]
		}
	}
	return found, nil
}
