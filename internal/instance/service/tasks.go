package service

import (
	"context"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"mimosayard/internal/backend/raters"
	"mimosayard/internal/core/aggregates"
	"mimosayard/internal/core/billing"
	"mimosayard/internal/core/rollouts"
	"mimosayard/internal/core/router"
	"mimosayard/internal/core/tables"
	"mimosayard/internal/instance/delay"
	"mimosayard/internal/platform/directory"
	"mimosayard/internal/telemetry/events"
	"mimosayard/internal/telemetry/metrics"
)

// platformHealth logs when the platform becomes unavailable and available again.
// It is safe for concurrent use; the zero value is ready to use.
type platformHealth struct {
	mutex       sync.Mutex
	unavailable bool
}

const (
	// directoryInterval is the mean time between two reads of the platform's
	// directory by an instance. In a large fleet it is longer, so that all
	// instances together make directoryReadsPerSecond reads.
	directoryInterval       = 2 * time.Second
	directoryReadsPerSecond = 100
	// loadInterval is the mean time between two rounds of load polls.
	loadInterval = time.Second
	// loadPollsPerRound is the number of upstreams polled in a round.
	loadPollsPerRound  = 8
	maxAnswersPerBatch = 64
	// answerBatchDelay is how long answers are collected before a batch is
	// sent.
	answerBatchDelay = 250 * time.Millisecond
	ratingsInterval  = time.Second
	raterRetryDelay  = 2 * time.Second
)

// newEpoch returns the epoch of the process of an instance that started at
// startedAt, with a precision of a millisecond.
func newEpoch(id tables.InstanceID, startedAt time.Time) billing.Epoch {
	return billing.Epoch(string(id) + "@" + strconv.FormatInt(startedAt.UnixMilli(), 10))
}

// record logs a change of the platform's availability, given the result of a
// call to it.
func (h *platformHealth) record(logger *zap.Logger, err error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	switch {
	case err != nil && !h.unavailable:
		h.unavailable = true
		events.PlatformUnavailable.Log(logger, zap.Error(err))
	case err == nil && h.unavailable:
		h.unavailable = false
		events.PlatformAvailable.Log(logger)
	}
}

// submitAnswers sends answers to the rating service in batches until the context
// ends. A batch that cannot be sent is dropped.
func (i *Instance) submitAnswers(ctx context.Context) error {
	for {
		var batch []raters.Answer
		select {
		case <-ctx.Done():
			return nil
		case answer := <-i.ratingQueue:
			batch = append(batch, answer)
		}
		if !delay.Sleep(ctx, answerBatchDelay) {
			return nil
		}
		for len(batch) < maxAnswersPerBatch && len(i.ratingQueue) > 0 {
			batch = append(batch, <-i.ratingQueue)
		}
		if err := i.raters.Submit(ctx, batch); err != nil && ctx.Err() == nil {
			events.RaterUnavailable.Log(i.log, zap.Error(err))
			delay.Sleep(ctx, raterRetryDelay)
		}
	}
}

// pollDirectory reads the platform's directory of instances and upstreams at
// intervals until the context ends.
func (i *Instance) pollDirectory(ctx context.Context) error {
	for ctx.Err() == nil {
		entries, err := i.directory.List(ctx)
		if err == nil {
			i.applyDirectory(entries)
		}
		fleetInterval := time.Duration(len(i.node.Members())) * time.Second / directoryReadsPerSecond
		delay.Sleep(ctx, delay.WithJitter(max(directoryInterval, fleetInterval)))
	}
	return nil
}

// applyDirectory takes over the addresses of peers and the upstreams that are
// leaving.
func (i *Instance) applyDirectory(entries []directory.Entry) {
	var seeds []string
	leaving := map[tables.UpstreamID]bool{}
	for _, entry := range entries {
		switch {
		case entry.Role == directory.RoleEntry && entry.Address != i.settings.PeersAddress:
			seeds = append(seeds, entry.Address)
		case entry.Role == directory.RoleUpstream && entry.Leaving:
			leaving[tables.UpstreamID(entry.Name)] = true
		}
	}
	i.directorySeeds.Store(&seeds)
	i.router.SetLeaving(leaving)
}

// pollLoads fetches the load of some upstreams in each round, in turn, until the
// context ends. Answers carry load reports too, so polling only matters for
// upstreams that this instance sends no traffic to.
func (i *Instance) pollLoads(ctx context.Context) error {
	nextTarget := 0
	for delay.Sleep(ctx, delay.WithJitter(loadInterval)) {
		index := i.router.Index()
		if index == nil {
			continue
		}
		targets := loadTargets(index)
		group, pollCtx := errgroup.WithContext(ctx)
		for range min(loadPollsPerRound, len(targets)) {
			target := targets[nextTarget%len(targets)]
			nextTarget++
			group.Go(func() error {
				if report, ok := i.upstreams.FetchLoad(pollCtx, target.address); ok {
					i.router.RecordLoad(target.pool, target.name, report)
				}
				return nil
			})
		}
		_ = group.Wait()
	}
	return nil
}

// pollRatings fetches ratings at intervals and records them with the router until
// the context ends.
func (i *Instance) pollRatings(ctx context.Context) error {
	for delay.Sleep(ctx, delay.WithJitter(ratingsInterval)) {
		ratings, err := i.raters.Fetch(ctx, string(i.settings.Instance))
		if err != nil {
			delay.Sleep(ctx, raterRetryDelay)
			continue
		}
		for _, rating := range ratings {
			i.router.RecordRating(router.Rating{RequestID: rating.RequestID, Score: rating.Score})
		}
	}
	return nil
}

// mergePeerProgress merges rollout progress from a peer. Progress that is new is
// stored and passed on to the parent at once.
func (i *Instance) mergePeerProgress(progress []rollouts.Progress) {
	for _, p := range progress {
		if i.router.MergeProgress(p) {
			i.logProgress(p)
			i.config.markProgressDirty()
			i.node.CallParentNow()
		}
	}
}

// handleTotals advances the router with the fleet's totals and this instance's
// part in them, publishes rollout progress that results, and updates the gauges.
func (i *Instance) handleTotals(now time.Time, totals, reported aggregates.Values) {
	position, count := i.node.FleetPosition()
	i.router.SetFleetPosition(now, position, count)
	for _, p := range i.router.Tick(now, totals, reported) {
		i.logProgress(p)
		i.config.markProgressDirty()
		i.node.CallParentNow()
	}
	events.LogLimits(i.log, i.router.LimitChanges())
	for _, change := range i.router.QuarantineChanges() {
		events.LogQuarantine(i.log, change)
	}
	i.callersRoom.Report()
	open, held := i.bills.Counts()
	i.metrics.SetGauge("bills_open", float64(open))
	i.metrics.SetGauge("bills_held", float64(held))
	i.metrics.SetGauge("generation", float64(i.router.Generation()))
	i.metrics.SetGauge("peers", float64(len(i.node.Members())))
	i.metrics.SetGauge("links_lost", metrics.Bool(i.dialer.Links.AllLost()))
	i.metrics.SetGauge("relays", float64(i.node.Relays()))
}

// logProgress logs a step or a withdrawal of a rollout. Step 0 is its start, not
// an advance.
func (i *Instance) logProgress(p rollouts.Progress) {
	if p.Step == 0 && !p.Withdrawn {
		return
	}
	event := events.RolloutAdvanced
	if p.Withdrawn {
		event = events.VersionWithdrawn
	}
	event.Log(i.log, zap.String("pool", string(p.Pool)), zap.Int("step", p.Step), zap.String("reason", string(p.Reason)))
}

// loadTarget is an upstream to poll for its load.
type loadTarget struct {
	pool    tables.PoolID
	name    tables.UpstreamID
	address string
}

// loadTargets returns the upstreams of all model pools that are not withdrawn.
func loadTargets(index *tables.Index) []loadTarget {
	var targets []loadTarget
	for _, pool := range index.Config.Pools {
		if pool.Kind != tables.KindModel || pool.Withdrawn {
			continue
		}
		for _, upstream := range pool.Upstreams {
			targets = append(targets, loadTarget{pool.Name, upstream.Name, upstream.Address})
		}
	}
	return targets
}
