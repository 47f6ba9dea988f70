// Command standins runs a stand-in for the platform, an upstream or the rating
// service, or generates a trace.
package main

import (
	"os"

	"mimosayard/internal/cli/standins"
)

func main() {
	os.Exit(standins.Main(os.Args[1:], os.Stdout, os.Stderr))
}
