package commands

import (
	"errors"
	"os"

	"mimosayard/internal/core/tables"
)

func newCheckCmd() *command {
	return &command{
		name:    "check",
		summary: "Check the two tables, or a shared platform's configuration, without a network.",
		usage:   "(-routes FILE -pools FILE | -config FILE [-against FILE] [-strict]) [-json]",
		example: "mimosayard check -routes examples/sauna/routes.json -pools examples/sauna/pools.json",
		run:     runCheckCmd,
	}
}

// tableFiles holds the names and contents of the table files, and the tables
// that are decoded from them.
type tableFiles struct {
	routesFile string
	poolsFile  string
	// routesData and poolsData are the contents of the files.
	routesData []byte
	poolsData  []byte
	routes     tables.RoutesTable
	pools      tables.PoolsTable
}

// checkOutput is the JSON output of check.
type checkOutput struct {
	OK     bool                    `json:"ok"`
	Routes int                     `json:"routes"`
	Pools  int                     `json:"pools"`
	Errors tables.ValidationErrors `json:"mistakes,omitempty"`
}

// tableFlags defines the flags for the table files. load reads the files after
// the flags are parsed.
func (i *invocation) tableFlags() *tableFiles {
	files := &tableFiles{}
	i.flags.StringVar(&files.routesFile, "routes", "", "read the routes table from `FILE`")
	i.flags.StringVar(&files.poolsFile, "pools", "", "read the pools table from `FILE`")
	return files
}

// load reads and validates the tables. If a table is invalid, the error is of
// type tables.ValidationErrors.
func (t *tableFiles) load() error {
	if t.routesFile == "" || t.poolsFile == "" {
		return usageError("-routes and -pools are required")
	}
	var err error
	if t.routesData, err = os.ReadFile(t.routesFile); err != nil {
		return &exitError{code: ExitUsage, err: err}
	}
	if t.poolsData, err = os.ReadFile(t.poolsFile); err != nil {
		return &exitError{code: ExitUsage, err: err}
	}
	var validationErrors tables.ValidationErrors
	if t.routes, err = tables.ParseRoutes(t.routesFile, t.routesData); err != nil {
		validationErrors = appendValidationErrors(validationErrors, err)
	}
	if t.pools, err = tables.ParsePools(t.poolsFile, t.poolsData); err != nil {
		validationErrors = appendValidationErrors(validationErrors, err)
	}
	if len(validationErrors) > 0 {
		return validationErrors
	}
	return tables.Validate(t.routesFile, t.routes, t.poolsFile, t.pools)
}

// appendValidationErrors appends the validation errors that err contains. An
// error of another type is appended as a validation error of the JSON.
func appendValidationErrors(validationErrors tables.ValidationErrors, err error) tables.ValidationErrors {
	var parsed tables.ValidationErrors
	if errors.As(err, &parsed) {
		return append(validationErrors, parsed...)
	}
	return append(validationErrors, tables.ValidationError{Row: -1, Field: "json", Problem: err.Error()})
}

func runCheckCmd(i *invocation) error {
	files := i.tableFlags()
	config := i.configFlags()
	asJSON := i.flags.Bool("json", false, "print JSON")
	if err := i.parse(); err != nil {
		return err
	}
	switch {
	case config.file != "" && (files.routesFile != "" || files.poolsFile != ""):
		return usageError("-config cannot be used with -routes or -pools")
	case config.file != "":
		return i.checkConfig(config, *asJSON)
	case config.against != "" || config.strict:
		return usageError("-against and -strict need -config")
	}
	err := files.load()
	var validationErrors tables.ValidationErrors
	if err != nil && !errors.As(err, &validationErrors) {
		return err
	}
	if *asJSON {
		if printErr := i.printJSON(checkOutput{err == nil, len(files.routes.Routes), len(files.pools.Pools), validationErrors}); printErr != nil {
			return printErr
		}
		if err != nil {
			return &exitError{code: ExitUsage}
		}
		return nil
	}
	if err != nil {
		return &exitError{code: ExitUsage, err: err}
	}
	i.printf("%d routes and %d pools are right\n", len(files.routes.Routes), len(files.pools.Pools))
	return nil
}
