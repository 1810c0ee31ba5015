// Command endivespring routes requests to servers that own keys exclusively.
package main

import (
	"os"

	"endivespring/internal/command"
)

func main() { os.Exit(command.Main()) }
