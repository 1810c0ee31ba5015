package settings

import (
	"os"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/samber/lo"
)

const readableByOthers = 0o004 // file mode bit

// Operator holds the settings of operators' commands.
type Operator struct {
	Name      string   `json:"name" required:"true" doc:"Operator's name; stored with each command."`
	Control   []string `json:"control" min:"1" required:"true" kind:"address" doc:"Operator addresses of the control processes."`
	TokenFile string   `json:"tokenFile" required:"true" doc:"File that holds the operators' token."`
}

// Check reports problems across fields.
func (o *Operator) Check() Problems {
	var problems Problems
	for _, duplicate := range lo.FindDuplicates(o.Control) {
		problems = append(problems, Problem{Field: "control", Value: duplicate, Message: "is given twice"})
	}
	return problems
}

// ReadToken returns the token in a file, without surrounding white space. It
// returns an error if users other than the file's owner and group can read it.
func ReadToken(path string) (string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return "", eris.Wrap(err, "read tokenFile")
	}
	if info.Mode().Perm()&readableByOthers != 0 {
		return "", eris.Errorf("tokenFile %q has mode %04o: others can read it; run chmod 600 %s", path, info.Mode().Perm(), path)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return "", eris.Wrap(err, "read tokenFile")
	}
	token := strings.TrimSpace(string(data))
	if token == "" {
		return "", eris.Errorf("tokenFile %q is empty", path)
	}
	if strings.ContainsFunc(token, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return "", eris.Errorf("tokenFile %q must hold one word of printable ASCII", path)
	}
	return token, nil
}
