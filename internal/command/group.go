package command

import "github.com/google/subcommands"

// group is a set of subcommands under one heading of the help text.
type group struct {
	name     string
	commands []subcommands.Command
}
