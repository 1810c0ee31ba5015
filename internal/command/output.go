package command

import (
	"encoding/json"
	"flag"
	"os"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"
)

// output is the format of a command's output: table or json.
type output string

const (
	outputTable output = "table"
	outputJSON  output = "json"
)

// String returns the value of the flag.
func (o *output) String() string { return string(*o) }

// Set implements flag.Value; it returns an error for unknown formats.
func (o *output) Set(text string) error {
	switch form := output(text); form {
	case outputTable, outputJSON:
		*o = form
		return nil
	default:
		return eris.New("must be table or json")
	}
}

// declare adds the flag --output.
func (o *output) declare(f *flag.FlagSet) {
	*o = outputTable
	f.Var(o, "output", "output format: `table or json`")
}

func printJSON(value any) subcommands.ExitStatus {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}
