package commands

import (
	"net/http/httptest"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"mimosayard/internal/standin/platform"
)

// TestMain makes the command mimosayard available to the scripts. It runs Main
// in a process of its own.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"mimosayard": func() { os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// TestScripts runs the scripts in testdata. They check for each command whether
// it succeeds, and the output and error messages that operators match. Each
// script has its own stand-in for the platform, with an empty object store, at
// $PLATFORM.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			server := httptest.NewServer((&platform.Server{}).Handler())
			env.Defer(server.Close)
			env.Setenv("PLATFORM", server.URL)
			return nil
		},
	})
}
