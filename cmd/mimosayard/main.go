// Command mimosayard routes requests to models, versions and plain services.
package main

import (
	"os"

	"mimosayard/internal/cli/commands"
)

func main() {
	os.Exit(commands.Main(os.Args[1:], os.Stdout, os.Stderr))
}
