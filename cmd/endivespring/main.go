// Command endivespring runs every process of the system and the operators' commands.
package main

import (
	"os"

	"endivespring/internal/command"
	"endivespring/platform"
)

func main() {
	os.Exit(command.Main(command.FrontEnd{Name: platform.Name, Router: platform.FrontEnd{}, Control: platform.FrontEnd{}}))
}
