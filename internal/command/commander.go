package command

import (
	"flag"

	"github.com/google/subcommands"
)

// commander holds the subcommands and the flags that precede them.
type commander struct {
	*subcommands.Commander
	flags *flag.FlagSet
}
