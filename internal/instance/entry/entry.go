// Package entry runs an instance on a shared platform: it joins the decisions
// with the callers, the upstreams, the platform's store and the peers, and
// gives each duty a goroutine of its own.
package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"mimosayard/internal/backend/forward"
	"mimosayard/internal/core/dispatch"
	"mimosayard/internal/core/membership"
	"mimosayard/internal/core/releases"
	"mimosayard/internal/core/retries"
	"mimosayard/internal/edge/ingress"
	"mimosayard/internal/edge/operators"
	"mimosayard/internal/fleet/peers"
	"mimosayard/internal/instance/delay"
	"mimosayard/internal/instance/settings"
	"mimosayard/internal/instance/storecache"
	"mimosayard/internal/net/sockets"
	"mimosayard/internal/telemetry/events"
	"mimosayard/internal/telemetry/logs"
	"mimosayard/internal/telemetry/metrics"
	"mimosayard/platform"
)

// An Instance is one running entry instance on a shared platform.
type Instance struct {
	settings   settings.Settings
	file       string
	log        *zap.Logger
	ring       *logs.Ring
	dispatcher *dispatch.Dispatcher
	store      *platform.Store
	config     *storecache.Cache
	upstreams  *storecache.Cache
	rollouts   *storecache.Cache
	node       *peers.Node
	metrics    *metrics.Recorder
	ingress    *ingress.Server

	started  time.Time
	wasReady atomic.Bool
	// seeds are the seeds of the newest settings.
	seeds atomic.Pointer[[]string]
	// stoppingSince is when the order to stop came, nil before.
	stoppingSince atomic.Pointer[time.Time]
}

// listeners are the sockets of an instance.
type listeners struct {
	callers, operators, ready, peers net.Listener
}

const (
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is longer than any operator lets a connection idle, so that
	// callers close first and no request crosses a close.
	idleTimeout    = 10 * time.Minute
	maxHeaderBytes = 64 << 10
	// memoryPart is the part of the instance's memory that the heap may grow
	// to; the rest is for sockets and stacks.
	memoryPart = 0.7
	// lastMoments is the part of the grace that is kept for the end itself.
	lastMoments = 800 * time.Millisecond
	// lastCallPart is the part of the grace in which new requests are taken. The
	// balancer needs two seconds to send them elsewhere.
	lastCallPart = 0.5
	// valueLimit bounds the changed loads of upstreams in a message to a peer. A
	// fleet of today changes some thirty between two messages.
	valueLimit = 16
	// storeConnect bounds the time to connect to the store.
	storeConnect = time.Second
)

// New returns an instance with the settings, which came from the file.
func New(s settings.Settings, file string, ring *logs.Ring, logger *zap.Logger) *Instance {
	if s.Shared.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(s.Shared.MemoryMB<<20)))
	}
	i := &Instance{
		settings: s,
		file:     file,
		started:  time.Now(),
		log:      logger.With(zap.String("instance", string(s.Instance))),
		ring:     ring,
		store:    newStore(s.Shared.Store),
		metrics:  metrics.New(s.Instance, s.DataCenter),
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), uint64(time.Now().UnixNano())))
	i.dispatcher = dispatch.New(s.DataCenter, limitsFrom(s.Shared), random)
	i.initCaches()
	i.seeds.Store(&s.SeedPeers)
	i.node = i.newNode(i.started)
	i.ingress = &ingress.Server{
		Dispatcher:     i.dispatcher,
		UpstreamClient: forward.New(),
		Metrics:        i.metrics,
		Log:            i.log,
		SinceShutdown:  i.stopping,
		AcceptWindow:   time.Duration(lastCallPart * float64(s.Shared.Grace.Duration())),
	}
	return i
}

// Run serves until the context ends, then stops without cutting a request
// that can end in time.
func (i *Instance) Run(ctx context.Context) error {
	all, err := i.listen(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	events.InstanceStarted.Log(i.log,
		zap.String("callers", i.settings.Callers), zap.String("store", i.settings.Shared.Store))
	// Duties outlive the order to stop until the requests are finished.
	duties, stopDuties := context.WithCancel(context.WithoutCancel(ctx))
	defer stopDuties()
	group, duties := errgroup.WithContext(duties)
	public := i.httpServer(i.ingress)
	inside := (&operators.Server{Metrics: i.metrics.Handler(), CheckReady: i.ready, Status: i.status}).Handler()
	operatorsServer := i.httpServer(inside)
	group.Go(func() error { return sockets.Serve(public, all.callers) })
	group.Go(func() error { return sockets.Serve(operatorsServer, all.operators) })
	group.Go(func() error { return sockets.Serve(operatorsServer, all.ready) })
	group.Go(func() error { return i.node.Serve(duties, all.peers) })
	for _, cache := range i.caches() {
		group.Go(func() error { return cache.Run(duties) })
	}
	group.Go(func() error { return i.runRollouts(duties) })
	group.Go(func() error { return i.runClock(duties) })
	group.Go(func() error { return i.runReload(duties) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
			i.drain(duties, public)
		case <-duties.Done():
		}
		stopDuties()
		_ = public.Close()
		return trace.Wrap(operatorsServer.Close())
	})
	err = group.Wait()
	if closeErr := i.metrics.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		events.DutyFailed.Log(i.log, zap.Error(err))
		return trace.Wrap(err)
	}
	events.InstanceStopped.Log(i.log)
	return nil
}

// drain takes requests until the balancer has noticed the stop, and waits for
// those in progress for as long as the grace allows.
func (i *Instance) drain(ctx context.Context, server *http.Server) {
	now := time.Now()
	i.stoppingSince.Store(&now)
	events.InstanceStopping.Log(i.log, zap.Int64("in_progress", i.ingress.InFlight()))
	end := now.Add(i.settings.Shared.Grace.Duration() - lastMoments)
	leave, cancelLeave := context.WithTimeout(ctx, time.Second)
	i.node.Leave(leave)
	cancelLeave()
	for time.Now().Before(end) {
		quiet := time.Since(now) > i.settings.BalancerLag.Duration() && i.ingress.InFlight() == 0
		if quiet || !delay.Sleep(ctx, drainLook) {
			break
		}
	}
	stop, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	if err := server.Shutdown(stop); err != nil {
		events.DrainTimedOut.Log(i.log, zap.Int64("in_progress", i.ingress.InFlight()))
	}
}

// drainLook is the time between two looks at the requests in progress.
const drainLook = 50 * time.Millisecond

func (i *Instance) httpServer(handler http.Handler) *http.Server {
	limits := sockets.Limits{ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	return sockets.NewServer(handler, limits, i.log)
}

func (i *Instance) listen(ctx context.Context) (listeners, error) {
	var all listeners
	for _, s := range []struct {
		address string
		into    *net.Listener
	}{
		{i.settings.Callers, &all.callers},
		{i.settings.Operators, &all.operators},
		{i.settings.Shared.Ready, &all.ready},
		{i.settings.Peers, &all.peers},
	} {
		listener, err := sockets.Listen(ctx, s.address)
		if err != nil {
			return listeners{}, trace.Wrap(err)
		}
		*s.into = listener
	}
	return all, nil
}

func (i *Instance) newNode(started time.Time) *peers.Node {
	return &peers.Node{
		Self: membership.Member{
			ID:         i.settings.Instance,
			Epoch:      started.UnixMilli(),
			Address:    i.settings.Peers,
			DataCenter: i.settings.DataCenter,
		},
		Key:          i.peerKey,
		Seeds:        func() []string { return *i.seeds.Load() },
		Contribution: i.dispatcher.Contribution,
		Totals:       i.applyTotals,
		ValueLimit:   valueLimit,
		Documents: peers.Documents{
			Marks:   i.marks,
			Content: i.content,
			Take:    i.takeDocument,
		},
		MemberDown: func(member membership.Member) {
			events.PeerDown.Log(i.log, zap.String("peer", string(member.ID)))
		},
	}
}

func (i *Instance) peerKey() []byte {
	if len(i.settings.PeerKey) > 0 {
		return i.settings.PeerKey
	}
	return i.settings.Shared.PeerKeyOf()
}

// ready returns why the instance should get no new connections, or nil.
func (i *Instance) ready() error {
	switch {
	case i.stopping() > 0:
		return errors.New("stopping")
	case i.dispatcher.Index() == nil:
		return errors.New("no configuration yet")
	case i.dispatcher.Upstreams() == 0:
		return errors.New("no upstream is known")
	}
	return nil
}

func (i *Instance) stopping() time.Duration {
	since := i.stoppingSince.Load()
	if since == nil {
		return 0
	}
	return max(1, time.Since(*since))
}

func limitsFrom(s *settings.SharedPlatform) dispatch.Limits {
	return dispatch.Limits{
		Retries:    retries.Budget{Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: s.RetryWindow.Duration()},
		Release:    releases.Limits{MaxExposure: s.Exposure},
		SessionTTL: s.Session.Duration(),
	}
}

func newStore(address string) *platform.Store {
	return &platform.Store{
		BaseURL: "http://" + address,
		HTTPClient: &http.Client{Transport: &http.Transport{
			DialContext:         sockets.Dialer(storeConnect).DialContext,
			MaxIdleConnsPerHost: 4,
			DisableCompression:  true,
		}},
	}
}
