// Package entry runs an instance on a shared platform. It connects the
// dispatcher to the callers, the upstreams, the platform's store and the peers,
// and runs each background task in its own goroutine.
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

	"mimosayard/internal/backend/connect"
	"mimosayard/internal/backend/forward"
	"mimosayard/internal/core/dispatch"
	"mimosayard/internal/core/membership"
	"mimosayard/internal/core/pacing"
	"mimosayard/internal/core/quarantine"
	"mimosayard/internal/core/releases"
	"mimosayard/internal/core/retries"
	"mimosayard/internal/edge/ingress"
	"mimosayard/internal/edge/operators"
	"mimosayard/internal/fleet/peers"
	"mimosayard/internal/instance/delay"
	"mimosayard/internal/instance/settings"
	"mimosayard/internal/instance/storecache"
	"mimosayard/internal/instance/uplinks"
	"mimosayard/internal/net/budget"
	"mimosayard/internal/net/http1"
	"mimosayard/internal/net/sockets"
	"mimosayard/internal/telemetry/events"
	"mimosayard/internal/telemetry/logs"
	"mimosayard/internal/telemetry/metrics"
	"mimosayard/platform"
)

// An Instance is an entry instance on a shared platform. New makes one, and Run
// runs it once.
type Instance struct {
	settings     settings.Settings
	settingsFile string
	log          *zap.Logger
	logRing      *logs.Ring
	dispatcher   *dispatch.Dispatcher
	store        *platform.Store
	config       *storecache.Cache
	upstreams    *storecache.Cache
	rollouts     *storecache.Cache
	// evacuations is nil if the settings do not have evacuations read.
	evacuations *storecache.Cache
	// evacuationsKnown is true once the evacuations are in force as the store or a peer has them.
	evacuationsKnown atomic.Bool
	node             *peers.Node
	metrics          *metrics.Recorder
	ingress          *ingress.Server
	dialer           *connect.Dialer
	// budget and connections bound what callers take of the process.
	budget      *budget.Budget
	connections budget.Connections
	// quarantineChanges are the changes of the quarantine to be written to the store.
	quarantineChanges chan quarantine.Change
	// storeRestored tells that the store was restored from a copy.
	storeRestored chan struct{}

	started     time.Time
	readyLogged atomic.Bool
	// seeds are the seed peers of the latest valid settings.
	seeds atomic.Pointer[[]string]
	// shutdownStart is the time at which the shutdown began, nil before it.
	shutdownStart atomic.Pointer[time.Time]
}

// listenerSet holds the listeners of an instance.
type listenerSet struct {
	callers, operators, ready, peers net.Listener
}

const (
	// ReadHeaderTimeout is the timeout for reading a request header.
	ReadHeaderTimeout = 10 * time.Second
	// IdleTimeout is longer than the idle timeout that any operator sets for
	// the callers. Callers therefore close idle connections first, and no
	// request arrives while the server closes its connection.
	IdleTimeout = 10 * time.Minute
	// MaxHeaderBytes is the maximum size of a request header.
	MaxHeaderBytes = 64 << 10
	// memoryLimitShare is the share of the instance's memory to which the Go
	// runtime's memory limit is set, so that the heap leaves room for sockets
	// and stacks.
	memoryLimitShare = 0.7
	// shutdownReserve is the time at the end of the grace period that is kept
	// for the answers to requests that were ended and for the exit of the
	// process. The drain ends before it.
	shutdownReserve = 800 * time.Millisecond
	// acceptWindowShare is the share of the grace period during which new
	// requests are accepted. The load balancer needs two seconds to send them
	// to other instances.
	acceptWindowShare = 0.5
	// maxMessageValues is the maximum number of changed upstream loads in a
	// message to a peer. They take about 2 kB.
	maxMessageValues = 128
	// peerCallInterval is the time between two messages to the parent among the
	// peers. Upstreams read most prompts in less than a second, so older loads
	// tell little, and each level of the tree adds an interval.
	peerCallInterval = 100 * time.Millisecond
	// storeDialTimeout is the timeout for connecting to the store.
	storeDialTimeout = time.Second
)

// New returns an instance with the settings, which were read from the settings
// file. Run reads the file again when it changes. The logger writes to logRing,
// whose dropped entries the instance reports. If the settings give the memory
// of the instance, New sets the memory limit of the whole process.
func New(s settings.Settings, settingsFile string, logRing *logs.Ring, logger *zap.Logger) *Instance {
	if s.Shared.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.Shared.MemoryMB<<20)))
	}
	i := &Instance{
		settings:     s,
		settingsFile: settingsFile,
		started:      time.Now(),
		log:          logger.With(zap.String("instance", string(s.Instance))),
		logRing:      logRing,
		store:        newStore(s.Shared.StoreAddress),
		metrics:      metrics.New(s.Instance, s.DataCenter),

		quarantineChanges: make(chan quarantine.Change, maxQuarantineChanges),
		storeRestored:     make(chan struct{}, 1),
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), uint64(time.Now().UnixNano())))
	i.dispatcher = dispatch.New(s.DataCenter, dispatchLimits(s.Shared), random)
	i.initCaches()
	i.seeds.Store(&s.SeedPeers)
	i.node = i.newNode(i.started)
	i.dialer = uplinks.NewDialer(uplinks.Options{Node: i.node, Links: i.dispatcher.Links(), HasUpstream: i.dispatcher.HasUpstream, AcquireRoom: i.dispatcher.RoomFor, MemoryMB: s.Shared.MemoryMB, Log: i.log})
	i.node.OnRejection = func(address string) { i.dispatcher.RecordRejection(time.Now(), address) }
	i.budget, i.connections.Limit, i.connections.SendBuffer = budget.FromSettings(s.RequestMemoryMB, s.MaxConnections)
	i.connections.Budget = i.budget
	i.connections.HeadTimeout = i.headTimeout
	i.ingress = &ingress.Server{
		Budget:          i.budget,
		Dispatcher:      i.dispatcher,
		UpstreamClient:  forward.New(i.dialer.DialContext),
		ReportRejection: i.dialer.ReportRejection,
		Metrics:         i.metrics,
		Log:             i.log,
		SinceShutdown:   i.sinceShutdown,
		MaySend:         i.maySend,
		AcceptWindow:    time.Duration(acceptWindowShare * float64(s.Shared.StopGrace.Duration())),
		DrainWindow:     s.Shared.StopGrace.Duration() - shutdownReserve,
	}
	return i
}

// Run serves until the context ends, and then drains the requests in progress
// until the end of the grace period. It returns an error if a listener cannot
// be opened or a background task fails.
func (i *Instance) Run(ctx context.Context) error {
	listeners, err := i.listen(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	events.InstanceStarted.Log(i.log,
		zap.String("callers", i.settings.CallersAddress), zap.String("store", i.settings.Shared.StoreAddress))
	// The background tasks continue after the end of ctx until the drain is
	// over.
	tasksCtx, stopTasks := context.WithCancel(context.WithoutCancel(ctx))
	defer stopTasks()
	group, tasksCtx := errgroup.WithContext(tasksCtx)
	callersServer := i.httpServer(i.ingress)
	drainer := sockets.NewDrainer(callersServer)
	operatorsHandler := (&operators.Server{
		Metrics: i.metrics.Handler(), CheckReady: i.checkReady, Status: i.status,
		Quarantine: func() any { return i.dispatcher.Quarantine() },
		Release: func(name string) bool {
			return i.dispatcher.ReleaseQuarantined(time.Now(), quarantine.PartID(name))
		},
	}).Handler()
	i.connections.Attach(callersServer)
	operatorsServer := i.httpServer(operatorsHandler)
	operatorsConnections := budget.Connections{Limit: budget.OperatorsConnections}
	operatorsConnections.Attach(operatorsServer)
	group.Go(func() error { return sockets.Serve(callersServer, i.connections.Listener(listeners.callers)) })
	group.Go(func() error {
		return sockets.Serve(operatorsServer, operatorsConnections.Listener(listeners.operators))
	})
	group.Go(func() error { return sockets.Serve(operatorsServer, operatorsConnections.Listener(listeners.ready)) })
	group.Go(func() error { return i.node.Serve(tasksCtx, listeners.peers) })
	for _, cache := range i.caches() {
		group.Go(func() error { return cache.Run(tasksCtx) })
	}
	group.Go(func() error { return i.runRollouts(tasksCtx) })
	group.Go(func() error { return i.runQuarantine(tasksCtx) })
	group.Go(func() error { return i.monitorProcess(tasksCtx) })
	group.Go(func() error { return i.watchSettings(tasksCtx) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
			i.drain(tasksCtx, drainer)
		case <-tasksCtx.Done():
		}
		stopTasks()
		_ = callersServer.Close()
		return trace.Wrap(operatorsServer.Close())
	})
	err = group.Wait()
	if closeErr := i.metrics.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		events.TaskFailed.Log(i.log, zap.Error(err))
		return trace.Wrap(err)
	}
	events.InstanceStopped.Log(i.log)
	return nil
}

// drain keeps serving until the load balancer has stopped sending new
// connections and no request is in progress, or until shutdownReserve before
// the end of the grace period. It then shuts the server down, and ends the
// requests that are still in progress.
func (i *Instance) drain(ctx context.Context, drainer *sockets.Drainer) {
	start := time.Now()
	i.shutdownStart.Store(&start)
	events.InstanceStopping.Log(i.log, zap.Int64("in_progress", i.ingress.InFlight()))
	drainDeadline := start.Add(i.ingress.DrainWindow)
	leaveCtx, cancelLeave := context.WithTimeout(ctx, time.Second)
	i.node.Leave(leaveCtx)
	cancelLeave()
	for time.Now().Before(drainDeadline) {
		idle := time.Since(start) > i.settings.BalancerLag.Duration() && i.ingress.InFlight() == 0 && i.node.Relays() == 0
		if idle || !delay.Sleep(ctx, drainCheckInterval) {
			break
		}
	}
	shutdownCtx, cancel := context.WithDeadline(ctx, drainDeadline)
	defer cancel()
	drainer.Shutdown(shutdownCtx, func() {
		events.DrainTimedOut.Log(i.log, zap.Int64("in_progress", i.ingress.InFlight()))
	})
}

// drainCheckInterval is the time between two checks for requests in progress.
const drainCheckInterval = 50 * time.Millisecond

func (i *Instance) httpServer(handler http.Handler) *http.Server {
	limits := sockets.Limits{ReadHeaderTimeout: ReadHeaderTimeout, IdleTimeout: IdleTimeout, MaxHeaderBytes: MaxHeaderBytes}
	return sockets.NewServer(handler, limits, i.log)
}

// headTimeout returns the configuration's timeout for the head of a request, zero for none.
func (i *Instance) headTimeout() time.Duration {
	if index := i.dispatcher.Index(); index != nil {
		return index.Catalog.Limits.HeaderTimeout
	}
	return 0
}

// listen opens all listeners of the instance.
func (i *Instance) listen(ctx context.Context) (listenerSet, error) {
	var listeners listenerSet
	for _, s := range []struct {
		address string
		target  *net.Listener
	}{
		{i.settings.CallersAddress, &listeners.callers},
		{i.settings.OperatorsAddress, &listeners.operators},
		{i.settings.Shared.ReadyAddress, &listeners.ready},
		{i.settings.PeersAddress, &listeners.peers},
	} {
		listener, err := sockets.Listen(ctx, s.address)
		if err != nil {
			return listenerSet{}, trace.Wrap(err)
		}
		*s.target = listener
	}
	return listeners, nil
}

// newNode returns the instance's node among its peers. The start time is the
// epoch, which tells successive processes of one instance apart.
func (i *Instance) newNode(started time.Time) *peers.Node {
	return &peers.Node{
		Self: membership.Member{
			ID:         i.settings.Instance,
			Epoch:      started.UnixMilli(),
			Address:    i.settings.PeersAddress,
			DataCenter: i.settings.DataCenter,
		},
		Key:               i.peerKey,
		Seeds:             func() []string { return *i.seeds.Load() },
		LocalValues:       i.contribution,
		OnTotals:          i.applyTotals,
		CallInterval:      peerCallInterval,
		InexactValueLimit: maxMessageValues,
		Documents: peers.Documents{
			Versions: i.documentVersions,
			Snapshot: i.snapshot,
			Apply:    i.applyDocument,
		},
		OnMemberDown: func(member membership.Member) {
			events.PeerDown.Log(i.log, zap.String("peer", string(member.ID)))
		},
	}
}

// peerKey returns the key that authenticates the messages of peers: the key of
// the settings, or else the default of the shared platform.
func (i *Instance) peerKey() []byte {
	if len(i.settings.PeerKey) > 0 {
		return i.settings.PeerKey
	}
	return i.settings.Shared.DerivedPeerKey()
}

// checkReady returns an error with the reason why the instance should get no
// new connections, or nil if it is ready.
func (i *Instance) checkReady() error {
	switch {
	case i.sinceShutdown() > 0:
		return errors.New("stopping")
	case i.dispatcher.Index() == nil:
		return errors.New("no configuration yet")
	case !i.maySend():
		return errors.New("no evacuations yet")
	case i.dispatcher.UsableUpstreamCount() == 0:
		return errors.New("no upstream is known")
	}
	return nil
}

// maySend reports whether the instance may send requests to upstreams: it knows which data centres
// are evacuated, or has waited for as long as an evacuation may take to be in force. An outage
// of the store must not keep a fleet that has just started out of service.
func (i *Instance) maySend() bool {
	return i.evacuations == nil || i.evacuationsKnown.Load() || time.Since(i.started) > i.settings.Shared.EvacuationTime()
}

// sinceShutdown returns the time since the shutdown began. It is zero before
// the shutdown and positive after its start.
func (i *Instance) sinceShutdown() time.Duration {
	since := i.shutdownStart.Load()
	if since == nil {
		return 0
	}
	return max(1, time.Since(*since))
}

func dispatchLimits(s *settings.SharedPlatform) dispatch.Limits {
	return dispatch.Limits{
		Retries:    retries.Budget{Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: s.RetryWindow.Duration()},
		Release:    releases.Limits{MaxExposure: s.MaxExposure, ExposureSlack: s.ExposureSlack},
		SessionTTL: s.SessionTTL.Duration(),
		Cold:       pacing.ColdBound{Overshoot: s.ColdOvershoot, Allowance: s.ColdAllowance},
	}
}

func newStore(address string) *platform.Store {
	return &platform.Store{
		BaseURL: "http://" + address,
		HTTPClient: &http.Client{Transport: &http1.Transport{
			Dial:                sockets.Dialer(storeDialTimeout).DialContext,
			MaxIdleConnsPerHost: 4,
			DisableCompression:  true,
		}},
	}
}
