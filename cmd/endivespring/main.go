// Command endivespring runs every part of the system.
package main

import (
	"os"

	"endivespring/internal/command"
	"endivespring/platform"
)

func main() {
	os.Exit(command.Main(command.FrontEnd{Name: platform.Name, Router: platform.FrontEnd{}, Control: platform.FrontEnd{}}))
}
