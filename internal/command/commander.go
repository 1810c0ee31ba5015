package command

import (
	"flag"

	"github.com/google/subcommands"
)

// commander holds the subcommands and the flags before them.
type commander struct {
	*subcommands.Commander
	flags *flag.FlagSet
}
