// Package service runs an instance: it connects the core packages, which do no
// I/O, with the clients and servers, and runs each background task in a
// goroutine of its own.
package service

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"mimosayard/internal/backend/connect"
	"mimosayard/internal/backend/raters"
	"mimosayard/internal/backend/upstreams"
	"mimosayard/internal/core/billing"
	"mimosayard/internal/core/faults"
	"mimosayard/internal/core/links"
	"mimosayard/internal/core/membership"
	"mimosayard/internal/core/quarantine"
	"mimosayard/internal/core/router"
	"mimosayard/internal/core/sessions"
	"mimosayard/internal/edge/callers"
	"mimosayard/internal/edge/operators"
	"mimosayard/internal/fleet/peers"
	"mimosayard/internal/instance/bills"
	"mimosayard/internal/instance/delay"
	"mimosayard/internal/instance/idempotency"
	"mimosayard/internal/instance/room"
	"mimosayard/internal/instance/settings"
	"mimosayard/internal/instance/uplinks"
	"mimosayard/internal/net/budget"
	"mimosayard/internal/net/http1"
	"mimosayard/internal/net/sockets"
	"mimosayard/internal/platform/directory"
	"mimosayard/internal/platform/objects"
	"mimosayard/internal/telemetry/events"
	"mimosayard/internal/telemetry/metrics"
)

// An Instance is an entry instance, which serves callers, operators and peers.
// New makes one, and Run runs it once.
type Instance struct {
	settings  settings.Settings
	log       *zap.Logger
	startedAt time.Time
	// epoch identifies this process of the instance.
	epoch     billing.Epoch
	router    *router.Router
	node      *peers.Node
	objects   *objects.Client
	directory *directory.Client
	raters    *raters.Client
	upstreams *upstreams.Client
	dialer    *connect.Dialer
	metrics   *metrics.Recorder
	callers   *callers.Server
	// budget and connections bound what callers take of the process.
	budget      *budget.Budget
	connections budget.Connections
	callersRoom room.Monitor

	config     configManager
	bills      bills.Settler
	keyClaimer idempotency.KeyStore
	// ratingQueue holds the answers to send to the rating service.
	ratingQueue chan raters.Answer
	// directorySeeds holds the peers' addresses from the platform's directory,
	// nil until it was read.
	directorySeeds atomic.Pointer[[]string]
	// lastRequestNumber is the number in the latest request ID.
	lastRequestNumber atomic.Uint64
	platformHealth    platformHealth
	stopping          atomic.Bool
}

// listenerSet holds the listening sockets of an instance.
type listenerSet struct {
	callers, operators, peers net.Listener
}

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 75 * time.Second
	maxHeaderBytes    = 32 << 10
	ratingQueueSize   = 1024
	// leaveTimeout bounds flushing the bills and leaving the fleet.
	leaveTimeout = 5 * time.Second
	// drainCheckInterval is the time between two checks for relayed connections.
	drainCheckInterval = 50 * time.Millisecond
)

// New returns an instance with the settings. It opens no sockets before Run.
func New(s settings.Settings, logger *zap.Logger) *Instance {
	startedAt := time.Now()
	i := &Instance{
		settings:    s,
		log:         logger.With(zap.String("instance", string(s.Instance))),
		startedAt:   startedAt,
		epoch:       newEpoch(s.Instance, startedAt),
		objects:     &objects.Client{BaseURL: s.PlatformURL, HTTPClient: newHTTPClient()},
		directory:   &directory.Client{BaseURL: s.PlatformURL, HTTPClient: newHTTPClient()},
		upstreams:   &upstreams.Client{FirstByteTimeout: s.FirstByteTimeout.Duration(), ProgressTimeout: s.ProgressTimeout.Duration()},
		metrics:     metrics.New(s.Instance, s.DataCenter),
		ratingQueue: make(chan raters.Answer, ratingQueueSize),
	}
	if s.RatersURL != "" {
		i.raters = &raters.Client{BaseURL: s.RatersURL, HTTPClient: newHTTPClient()}
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), uint64(startedAt.UnixNano())))
	i.router = router.New(s.DataCenter, router.Policy{}, random)
	i.router.SetInstance(s.Instance)
	i.config.init(i)
	i.node = i.newNode()
	i.dialer = uplinks.NewDialer(uplinks.Options{
		Node: i.node, Links: &links.Table{}, HasUpstream: i.hasUpstream, OnChange: i.upstreams.Reconnect, Log: i.log,
	})
	i.upstreams.Dial = i.dialer.DialContext
	i.initBills()
	i.keyClaimer = idempotency.KeyStore{Objects: i.objects, Log: i.log}
	i.budget, i.connections.Limit, i.connections.SendBuffer = budget.FromSettings(s.RequestMemoryMB, s.MaxConnections)
	i.connections.Budget = i.budget
	i.callersRoom = room.Monitor{Budget: i.budget, Connections: &i.connections, Metrics: i.metrics, Log: i.log}
	i.callers = i.newCallersServer()
	return i
}

// Run serves until the context ends, then drains the instance. It returns an
// error if a socket cannot be opened or a background task fails.
func (i *Instance) Run(ctx context.Context) error {
	listeners, err := i.listen(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	events.InstanceStarted.Log(i.log, zap.String("callers", i.settings.CallersAddress))
	// The background tasks continue after ctx ends, until the instance is drained.
	tasksCtx, cancelTasks := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelTasks()
	group, tasksCtx := errgroup.WithContext(tasksCtx)
	callersServer := i.newHTTPServer(i.callers.Handler())
	drainer := sockets.NewDrainer(callersServer)
	i.connections.Attach(callersServer)
	operatorsServer := i.newHTTPServer(i.newOperatorsServer().Handler())
	operatorsConnections := budget.Connections{Limit: budget.OperatorsConnections}
	operatorsConnections.Attach(operatorsServer)
	group.Go(func() error { return sockets.Serve(callersServer, i.connections.Listener(listeners.callers)) })
	group.Go(func() error {
		return sockets.Serve(operatorsServer, operatorsConnections.Listener(listeners.operators))
	})
	group.Go(func() error { return i.node.Serve(tasksCtx, listeners.peers) })
	group.Go(func() error { return i.config.run(tasksCtx) })
	group.Go(func() error { return i.pollDirectory(tasksCtx) })
	group.Go(func() error { return i.bills.RunCopying(tasksCtx) })
	group.Go(func() error { return i.bills.RunSettling(tasksCtx) })
	group.Go(func() error { return i.pollLoads(tasksCtx) })
	group.Go(func() error { return newOrderController(i).run(tasksCtx) })
	if i.raters != nil {
		group.Go(func() error { return i.pollRatings(tasksCtx) })
		group.Go(func() error { return i.submitAnswers(tasksCtx) })
	}
	group.Go(func() error {
		select {
		case <-ctx.Done():
			i.drain(tasksCtx, drainer)
		case <-tasksCtx.Done():
		}
		cancelTasks()
		_ = callersServer.Close()
		return trace.Wrap(operatorsServer.Close())
	})
	err = group.Wait()
	i.upstreams.Close()
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

// drain reports the instance as not ready, accepts requests until the load
// balancer has noticed (BalancerLag), and waits up to the drain timeout for those
// in progress, which it then ends. Then it flushes the bills and leaves the fleet.
func (i *Instance) drain(ctx context.Context, drainer *sockets.Drainer) {
	i.stopping.Store(true)
	events.InstanceStopping.Log(i.log)
	i.node.RefuseRelays()
	delay.Sleep(ctx, i.settings.BalancerLag.Duration())
	drainCtx, cancel := context.WithTimeout(ctx, i.settings.DrainTimeout.Duration())
	defer cancel()
	drainer.Shutdown(drainCtx, func() {
		events.DrainTimedOut.Log(i.log, zap.Int64("in_progress", i.callers.InFlight()))
	})
	for i.node.Relays() > 0 && delay.Sleep(drainCtx, drainCheckInterval) {
	}
	leaveCtx, cancelLeave := context.WithTimeout(ctx, leaveTimeout)
	defer cancelLeave()
	i.bills.Flush(leaveCtx)
	i.node.Leave(leaveCtx)
}

// newHTTPServer returns a server with the header limits and idle timeout that the
// listeners of callers and operators share.
func (i *Instance) newHTTPServer(handler http.Handler) *http.Server {
	limits := sockets.Limits{ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	return sockets.NewServer(handler, limits, i.log)
}

// initBills connects the settler of bills to the rest of the instance.
func (i *Instance) initBills() {
	i.bills.Epoch = i.epoch
	i.bills.Objects = i.objects
	i.bills.Log = i.log
	i.bills.MaxOpenBills = i.settings.MaxWaitingBills
	i.bills.SettleInterval = i.settings.SettleInterval.Duration()
	i.bills.Holder = func() (membership.Member, bool) { return i.node.BackupHolder(i.epoch) }
	i.bills.SendCopies = func(ctx context.Context, copies []billing.Bill, account billing.Account) error {
		return i.node.SendBillCopies(ctx, i.epoch, copies, account)
	}
	i.bills.LiveEpochs = i.liveEpochs
	i.bills.OnStoreResult = func(err error) { i.platformHealth.record(i.log, err) }
	i.bills.Init()
}

// liveEpochs returns the epochs of the members that are not down.
func (i *Instance) liveEpochs() map[billing.Epoch]bool {
	live := map[billing.Epoch]bool{}
	for _, member := range i.node.Members() {
		live[newEpoch(member.ID, time.UnixMilli(member.Epoch))] = true
	}
	return live
}

// listen opens the sockets at the addresses of the settings.
func (i *Instance) listen(ctx context.Context) (listenerSet, error) {
	var listeners listenerSet
	for _, s := range []struct {
		address string
		target  *net.Listener
	}{
		{i.settings.CallersAddress, &listeners.callers},
		{i.settings.OperatorsAddress, &listeners.operators},
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

func (i *Instance) newCallersServer() *callers.Server {
	return &callers.Server{
		Router:          i.router,
		UpstreamClient:  i.upstreams,
		Metrics:         i.metrics,
		Log:             i.log,
		NewID:           i.newID,
		Budget:          i.budget,
		SessionKeys:     i.sessionKeys,
		StoreBill:       i.bills.Submit,
		SubmitForRating: i.queueForRating,
		AcquireKey:      i.keyClaimer.Acquire,
		MaxBodyBytes:    i.settings.MaxBodyBytes,
		ClientIOTimeout: i.settings.SlowClientTimeout.Duration(),
		RefusalFault:    i.refusalFault,
		Stopping:        i.stopping.Load,
		IsLinkLost: func(address string) bool {
			return i.dialer.Links.Lost(time.Now(), links.Address(address))
		},
	}
}

// newID returns a request ID that is unique in the fleet.
func (i *Instance) newID() string {
	return string(i.epoch) + "-" + strconv.FormatUint(i.lastRequestNumber.Add(1), 36)
}

func (i *Instance) newNode() *peers.Node {
	return &peers.Node{
		Self: membership.Member{
			ID:         i.settings.Instance,
			Epoch:      i.startedAt.UnixMilli(),
			Address:    i.settings.PeersAddress,
			DataCenter: i.settings.DataCenter,
		},
		Key:             i.config.peerKey,
		Seeds:           i.seedPeers,
		LocalValues:     i.router.Contribution,
		OnTotals:        i.handleTotals,
		Generation:      i.router.Generation,
		EncodedConfig:   i.config.encodedConfig,
		ApplyConfig:     i.config.applyFromPeer,
		Progress:        i.router.Progress,
		MergeProgress:   i.mergePeerProgress,
		StoreBillCopies: i.bills.StoreCopies,
		OnMemberDown: func(member membership.Member) {
			events.PeerDown.Log(i.log, zap.String("peer", string(member.ID)))
		},
	}
}

func (i *Instance) newOperatorsServer() *operators.Server {
	return &operators.Server{
		Metrics: i.metrics.Handler(), CheckReady: i.checkReady, Status: i.status,
		Quarantine: func() any { return i.router.Quarantine() },
		Release: func(name string) bool {
			return i.router.ReleaseQuarantined(time.Now(), quarantine.PartID(name))
		},
	}
}

// hasUpstream reports whether an upstream of the configuration in force has the address.
func (i *Instance) hasUpstream(address string) bool {
	index := i.router.Index()
	if index == nil {
		return false
	}
	for _, pool := range index.Config.Pools {
		for _, upstream := range pool.Upstreams {
			if upstream.Address == address {
				return true
			}
		}
	}
	return false
}

// queueForRating queues an answer for the rating service. If the queue is full,
// the answer is dropped, since only a sample of the answers needs a rating.
func (i *Instance) queueForRating(answer raters.Answer) {
	answer.Instance = string(i.settings.Instance)
	select {
	case i.ratingQueue <- answer:
	default:
	}
}

// checkReady returns nil if the instance is ready to serve callers, otherwise an
// error that says why not.
func (i *Instance) checkReady() error {
	switch {
	case i.stopping.Load():
		return errors.New("stopping")
	case i.router.Generation() == 0:
		return errors.New("no configuration yet")
	}
	return nil
}

// refusalFault returns the error to refuse new requests with, nil to accept them.
// Requests are refused while too many bills are unsettled.
func (i *Instance) refusalFault() *faults.Error {
	if i.bills.Full() {
		return faults.New(faults.PlatformUnavailable, "too many bills wait for the store")
	}
	return nil
}

// seedPeers returns the addresses of peers from the settings and the platform's
// directory.
func (i *Instance) seedPeers() []string {
	seeds := i.settings.SeedPeers
	if fromDirectory := i.directorySeeds.Load(); fromDirectory != nil {
		seeds = append(append([]string(nil), seeds...), *fromDirectory...)
	}
	return seeds
}

// sessionKeys returns the signing keys of the configuration in force, none before
// the first configuration.
func (i *Instance) sessionKeys() *sessions.KeyRing {
	index := i.router.Index()
	if index == nil {
		return &sessions.KeyRing{}
	}
	return &sessions.KeyRing{Keys: index.Config.SessionKeys}
}

func newHTTPClient() *http.Client {
	return &http.Client{Transport: &http1.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute}}
}
