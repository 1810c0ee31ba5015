package settings

import (
	"os"
	"strings"

	"github.com/rotisserie/eris"
)

// Operator holds the settings of operators' commands.
type Operator struct {
	Name      string   `json:"name" required:"true" doc:"Operator's name, kept with each command."`
	Control   []string `json:"control" min:"1" required:"true" kind:"address" doc:"Operator addresses of the control processes."`
	TokenFile string   `json:"tokenFile" required:"true" doc:"File with the operators' token."`
}

// ReadToken returns the token in a file, without surrounding white space.
func ReadToken(path string) (string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", eris.Wrap(err, "read tokenFile")
	}
	token := strings.TrimSpace(string(data))
	if token == "" {
		return "", eris.Errorf("tokenFile %q is empty", path)
	}
	return token, nil
}
