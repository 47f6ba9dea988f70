package commands

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"mimosayard/internal/core/tables"
	"mimosayard/internal/instance/service"
	"mimosayard/internal/platform/objects"
)

func newApplyCmd() *command {
	return &command{
		name:    "apply",
		summary: "Show the difference to the tables in force, and write it.",
		usage:   "-platform URL -routes FILE -pools FILE [-dry-run] [-base-routes N -base-pools N] [-wait DURATION] [-json]",
		example: "mimosayard apply -platform http://127.0.0.1:7000 -routes routes.json -pools pools.json -dry-run",
		run:     runApplyCmd,
	}
}

// applyOptions holds the flags of apply.
type applyOptions struct {
	files    *tableFiles
	platform string
	// baseRoutes and basePools are the revisions of the tables from which the
	// files were edited. Zero means that any revision is accepted.
	baseRoutes uint64
	basePools  uint64
	dryRun     bool
	// wait is the time to wait until the fleet accepts the tables.
	wait   time.Duration
	asJSON bool
}

// storedTables holds the tables that the platform stores, encoded and decoded.
type storedTables struct {
	routesObject objects.Object
	poolsObject  objects.Object
	routes       tables.RoutesTable
	pools        tables.PoolsTable
}

// applyOutput is the JSON output of apply.
type applyOutput struct {
	Changes        []tables.Change `json:"changes"`
	RoutesRevision uint64          `json:"routes_revision"`
	PoolsRevision  uint64          `json:"pools_revision"`
	Written        bool            `json:"written"`
	Generation     uint64          `json:"generation,omitempty"`
}

// acceptancePollInterval is the time between two reads of the acceptance
// status.
const acceptancePollInterval = 100 * time.Millisecond

func runApplyCmd(i *invocation) error {
	options := applyOptions{files: i.tableFlags()}
	i.flags.StringVar(&options.platform, "platform", "", "base `URL` of the platform's object API")
	i.flags.Uint64Var(&options.baseRoutes, "base-routes", 0, "refuse unless the routes table has revision `N`")
	i.flags.Uint64Var(&options.basePools, "base-pools", 0, "refuse unless the pools table has revision `N`")
	i.flags.BoolVar(&options.dryRun, "dry-run", false, "show the difference and write nothing")
	i.flags.DurationVar(&options.wait, "wait", 15*time.Second, "wait up to `DURATION` for the edit to be accepted")
	i.flags.BoolVar(&options.asJSON, "json", false, "print JSON")
	if err := i.parse(); err != nil {
		return err
	}
	if options.platform == "" {
		return usageError("-platform is required")
	}
	if err := options.files.load(); err != nil {
		return &exitError{code: ExitUsage, err: err}
	}
	ctx, stop := signalContext()
	defer stop()
	return i.apply(ctx, options)
}

// apply prints the difference between the files and the stored tables and,
// unless this is a dry run, writes the tables and waits until the fleet accepts
// them.
func (i *invocation) apply(ctx context.Context, options applyOptions) error {
	client := &objects.Client{BaseURL: options.platform}
	stored, err := fetchTables(ctx, client)
	if err != nil {
		return trace.Wrap(err)
	}
	changes := stored.changes(options.files)
	if err := stored.checkBase(options, changes); err != nil {
		return err
	}
	output := applyOutput{
		Changes:        changes,
		RoutesRevision: uint64(stored.routesObject.Version),
		PoolsRevision:  uint64(stored.poolsObject.Version),
	}
	if !options.asJSON {
		i.printChanges(changes)
	}
	if options.dryRun || len(changes) == 0 {
		return i.reportApply(options, output)
	}
	if err := stored.write(ctx, client, options, &output); err != nil {
		return err
	}
	output.Written = true
	output.Generation, err = awaitAcceptance(ctx, client, output, options.wait)
	if err != nil {
		return err
	}
	return i.reportApply(options, output)
}

func (i *invocation) printChanges(changes []tables.Change) {
	for _, change := range changes {
		i.printf("%s\n", change)
	}
}

// reportApply prints the result of apply.
func (i *invocation) reportApply(options applyOptions, output applyOutput) error {
	switch {
	case options.asJSON:
		return i.printJSON(output)
	case len(output.Changes) == 0:
		i.printf("nothing differs (routes revision %d, pools revision %d)\n", output.RoutesRevision, output.PoolsRevision)
	case !output.Written:
		i.printf("%d rows differ; nothing was written\n", len(output.Changes))
	default:
		i.printf("%d rows written and accepted as generation %d (routes revision %d, pools revision %d)\n",
			len(output.Changes), output.Generation, output.RoutesRevision, output.PoolsRevision)
	}
	return nil
}

// checkBase returns a conflict error with the changes if a stored table does
// not have the revision from which its file was edited.
func (s *storedTables) checkBase(options applyOptions, changes []tables.Change) error {
	baseDiffers := func(base uint64, object objects.Object) bool {
		return base != 0 && base != uint64(object.Version)
	}
	if !baseDiffers(options.baseRoutes, s.routesObject) && !baseDiffers(options.basePools, s.poolsObject) {
		return nil
	}
	return conflictError("the tables are at routes revision %d and pools revision %d, not at the base that you named; nothing was written.\nYours against theirs:\n%s",
		s.routesObject.Version, s.poolsObject.Version, joinChanges(changes))
}

// changes returns the changes that turn the stored tables into the desired
// ones.
func (s *storedTables) changes(desired *tableFiles) []tables.Change {
	changes := tables.DiffPools(desired.pools, s.pools)
	return append(changes, tables.DiffRoutes(desired.routes, s.routes)...)
}

// write writes the tables that differ and sets their new revisions in the
// output. Each table is written atomically. New pools are written before the
// routes that name them, and pools are removed after the routes that named
// them.
func (s *storedTables) write(ctx context.Context, client *objects.Client, options applyOptions, output *applyOutput) error {
	writePools := func() error {
		if len(tables.DiffPools(options.files.pools, s.pools)) == 0 {
			return nil
		}
		version, err := s.put(ctx, client, options, objects.Object{Key: service.KeyPools, Version: s.poolsObject.Version, Value: options.files.poolsData})
		output.PoolsRevision = uint64(version)
		return err
	}
	writeRoutes := func() error {
		if len(tables.DiffRoutes(options.files.routes, s.routes)) == 0 {
			return nil
		}
		version, err := s.put(ctx, client, options, objects.Object{Key: service.KeyRoutes, Version: s.routesObject.Version, Value: options.files.routesData})
		output.RoutesRevision = uint64(version)
		return err
	}
	first, second := writePools, writeRoutes
	if tables.Validate("routes", s.routes, "pools", options.files.pools) != nil {
		first, second = writeRoutes, writePools
	}
	if err := first(); err != nil {
		return err
	}
	return second()
}

// put writes a table and returns its new version. If the write fails, put reads
// the table back, since the write may have taken effect with its response lost.
// It returns a conflict error if someone else has changed the table.
func (s *storedTables) put(ctx context.Context, client *objects.Client, options applyOptions, object objects.Object) (objects.Version, error) {
	version, err := client.Put(ctx, object.Key, object.Version, object.Value)
	if err == nil {
		return version, nil
	}
	current, readErr := client.Get(ctx, object.Key)
	if readErr != nil {
		return 0, trace.Wrap(err, "it is not known whether %s was written; run apply again", object.Key)
	}
	if string(current.Value) == string(object.Value) {
		return current.Version, nil
	}
	if !errors.Is(err, objects.ErrConflict) && current.Version == object.Version {
		return 0, trace.Wrap(err, "%s was not written", object.Key)
	}
	latest, fetchErr := fetchTables(ctx, client)
	if fetchErr != nil {
		return 0, trace.Wrap(fetchErr)
	}
	return 0, conflictError("%s was changed by someone else to revision %d; your edit of it was not written.\nTheir edit:\n%s\nYour edit:\n%s",
		object.Key, current.Version, joinChanges(latest.changesFrom(s)), joinChanges(s.changes(options.files)))
}

// changesFrom returns the changes that turn the earlier tables into these.
func (s *storedTables) changesFrom(earlier *storedTables) []tables.Change {
	changes := tables.DiffPools(s.pools, earlier.pools)
	return append(changes, tables.DiffRoutes(s.routes, earlier.routes)...)
}

// awaitAcceptance waits until the fleet has accepted the tables of the output
// and returns their generation. It returns an error if the fleet rejects the
// tables or if no instance has accepted them within the wait.
func awaitAcceptance(ctx context.Context, client *objects.Client, output applyOutput, wait time.Duration) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		object, err := client.Get(ctx, service.KeyAcceptance)
		var status service.AcceptanceStatus
		if err == nil && json.Unmarshal(object.Value, &status) == nil && coversRevisions(status, output) {
			if status.Accepted {
				return status.Generation, nil
			}
			return 0, &exitError{code: ExitUsage, err: fmt.Errorf("the tables were written but rejected:\n%w", status.ValidationErrors)}
		}
		select {
		case <-ctx.Done():
			return 0, fmt.Errorf("the tables were written, but no instance has accepted them within %s", wait)
		case <-time.After(acceptancePollInterval):
		}
	}
}

// conflictError returns an error that ends the program with ExitConflict.
func conflictError(format string, values ...any) error {
	return &exitError{code: ExitConflict, err: fmt.Errorf(format, values...)}
}

// fetchTables reads both tables from the platform. A table that does not exist
// is empty.
func fetchTables(ctx context.Context, client *objects.Client) (*storedTables, error) {
	stored := &storedTables{}
	var err error
	if stored.routesObject, err = client.Get(ctx, service.KeyRoutes); err != nil {
		return nil, trace.Wrap(err)
	}
	if stored.poolsObject, err = client.Get(ctx, service.KeyPools); err != nil {
		return nil, trace.Wrap(err)
	}
	if stored.routesObject.Version > 0 {
		if stored.routes, err = tables.ParseRoutes("routes in force", stored.routesObject.Value); err != nil {
			return nil, err
		}
	}
	if stored.poolsObject.Version > 0 {
		if stored.pools, err = tables.ParsePools("pools in force", stored.poolsObject.Value); err != nil {
			return nil, err
		}
	}
	return stored, nil
}

func joinChanges(changes []tables.Change) string {
	lines := make([]string, 0, len(changes))
	for _, change := range changes {
		lines = append(lines, change.String())
	}
	return strings.Join(lines, "\n")
}

// coversRevisions reports whether the status is for the revisions in the output
// or later ones.
func coversRevisions(status service.AcceptanceStatus, output applyOutput) bool {
	return status.RoutesRevision >= output.RoutesRevision && status.PoolsRevision >= output.PoolsRevision
}
