// Package service runs an instance: it joins the pure core with the adapters
// and gives each duty a goroutine of its own.
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

	"mimosayard/internal/backend/raters"
	"mimosayard/internal/backend/upstreams"
	"mimosayard/internal/core/billing"
	"mimosayard/internal/core/faults"
	"mimosayard/internal/core/membership"
	"mimosayard/internal/core/router"
	"mimosayard/internal/core/sessions"
	"mimosayard/internal/edge/callers"
	"mimosayard/internal/edge/operators"
	"mimosayard/internal/fleet/peers"
	"mimosayard/internal/instance/bills"
	"mimosayard/internal/instance/delay"
	"mimosayard/internal/instance/idempotency"
	"mimosayard/internal/instance/settings"
	"mimosayard/internal/net/sockets"
	"mimosayard/internal/platform/directory"
	"mimosayard/internal/platform/objects"
	"mimosayard/internal/telemetry/events"
	"mimosayard/internal/telemetry/metrics"
)

// An Instance is one running entry instance.
type Instance struct {
	settings  settings.Settings
	log       *zap.Logger
	started   time.Time
	epoch     billing.Epoch
	router    *router.Router
	node      *peers.Node
	objects   *objects.Client
	directory *directory.Client
	raters    *raters.Client
	upstreams *upstreams.Client
	metrics   *metrics.Recorder
	callers   *callers.Server

	config   configKeeper
	bills    bills.Keeper
	claims   idempotency.Claimer
	answers  chan raters.Answer
	seeds    atomic.Pointer[[]string]
	requests atomic.Uint64
	platform health
	stopping atomic.Bool
}

// listeners are the sockets of an instance.
type listeners struct {
	callers, operators, peers net.Listener
}

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 75 * time.Second
	maxHeaderBytes    = 32 << 10
	answerRing        = 1024
	stopTimeout       = 5 * time.Second
)

// New returns an instance with the settings.
func New(s settings.Settings, logger *zap.Logger) *Instance {
	started := time.Now()
	i := &Instance{
		settings:  s,
		log:       logger.With(zap.String("instance", string(s.Instance))),
		started:   started,
		epoch:     newEpoch(s.Instance, started),
		objects:   &objects.Client{Base: s.Platform, HTTPClient: newHTTPClient()},
		directory: &directory.Client{BaseURL: s.Platform, HTTPClient: newHTTPClient()},
		upstreams: &upstreams.Client{FirstByteTimeout: s.FirstByte.Duration(), ProgressTimeout: s.Progress.Duration()},
		metrics:   metrics.New(s.Instance, s.DataCenter),
		answers:   make(chan raters.Answer, answerRing),
	}
	if s.Raters != "" {
		i.raters = &raters.Client{BaseURL: s.Raters, HTTPClient: newHTTPClient()}
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), uint64(started.UnixNano())))
	i.router = router.New(s.DataCenter, router.Policy{}, random)
	i.config.init(i)
	i.node = i.newNode()
	i.initBills()
	i.claims = idempotency.Claimer{Objects: i.objects, Log: i.log}
	i.callers = i.newCallers()
	return i
}

// Run serves until the context ends, then stops without cutting a request.
func (i *Instance) Run(ctx context.Context) error {
	all, err := i.listen(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	events.InstanceStarted.Log(i.log, zap.String("callers", i.settings.Callers))
	// Duties outlive the order to stop until the requests are finished.
	duties, stopDuties := context.WithCancel(context.WithoutCancel(ctx))
	defer stopDuties()
	group, duties := errgroup.WithContext(duties)
	callersServer := i.httpServer(i.callers.Handler())
	operatorsServer := i.httpServer(i.operators().Handler())
	group.Go(func() error { return sockets.Serve(callersServer, all.callers) })
	group.Go(func() error { return sockets.Serve(operatorsServer, all.operators) })
	group.Go(func() error { return i.node.Serve(duties, all.peers) })
	group.Go(func() error { return i.config.run(duties) })
	group.Go(func() error { return i.runDirectory(duties) })
	group.Go(func() error { return i.bills.RunHold(duties) })
	group.Go(func() error { return i.bills.RunSettle(duties) })
	group.Go(func() error { return i.runLoads(duties) })
	group.Go(func() error { return newOrderKeeper(i).run(duties) })
	if i.raters != nil {
		group.Go(func() error { return i.runRatings(duties) })
		group.Go(func() error { return i.runAnswers(duties) })
	}
	group.Go(func() error {
		select {
		case <-ctx.Done():
			i.drain(duties, callersServer)
		case <-duties.Done():
		}
		stopDuties()
		_ = callersServer.Close()
		return trace.Wrap(operatorsServer.Close())
	})
	err = group.Wait()
	i.upstreams.Close()
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

// drain stops taking requests and waits for those in progress. New requests
// are taken until the balancer has noticed.
func (i *Instance) drain(ctx context.Context, server *http.Server) {
	i.stopping.Store(true)
	events.InstanceStopping.Log(i.log)
	server.SetKeepAlivesEnabled(false)
	delay.Sleep(ctx, i.settings.BalancerLag.Duration())
	stop, cancel := context.WithTimeout(ctx, i.settings.Drain.Duration())
	defer cancel()
	if err := server.Shutdown(stop); err != nil {
		events.DrainTimedOut.Log(i.log, zap.Int64("in_progress", i.callers.InFlight()))
	}
	final, cancelFinal := context.WithTimeout(ctx, stopTimeout)
	defer cancelFinal()
	i.bills.HandOver(final)
	i.node.Leave(final)
}

func (i *Instance) httpServer(handler http.Handler) *http.Server {
	limits := sockets.Limits{ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	return sockets.NewServer(handler, limits, i.log)
}

func (i *Instance) initBills() {
	i.bills.Epoch = i.epoch
	i.bills.Objects = i.objects
	i.bills.Log = i.log
	i.bills.Limit = i.settings.MaxWaitingBills
	i.bills.Interval = i.settings.Settle.Duration()
	i.bills.Holder = func() (membership.Member, bool) { return i.node.Holder(i.epoch) }
	i.bills.Copy = func(ctx context.Context, copies []billing.Bill, account billing.Account) error {
		return i.node.HoldBills(ctx, i.epoch, copies, account)
	}
	i.bills.Alive = i.aliveEpochs
	i.bills.Platform = func(err error) { i.platform.note(i.log, err) }
	i.bills.Init()
}

// aliveEpochs returns the runs of the members that are not down.
func (i *Instance) aliveEpochs() map[billing.Epoch]bool {
	alive := map[billing.Epoch]bool{}
	for _, member := range i.node.Members() {
		alive[newEpoch(member.ID, time.UnixMilli(member.Epoch))] = true
	}
	return alive
}

func (i *Instance) listen(ctx context.Context) (listeners, error) {
	var all listeners
	for _, s := range []struct {
		address string
		into    *net.Listener
	}{
		{i.settings.Callers, &all.callers},
		{i.settings.Operators, &all.operators},
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

func (i *Instance) newCallers() *callers.Server {
	return &callers.Server{
		Router:          i.router,
		UpstreamClient:  i.upstreams,
		Metrics:         i.metrics,
		Log:             i.log,
		NewID:           i.newID,
		SessionKeys:     i.sessionKeys,
		StoreBill:       i.bills.Bill,
		SubmitForRating: i.rate,
		ClaimKey:        i.claims.Claim,
		MaxBodyBytes:    i.settings.MaxBody,
		ClientIOTimeout: i.settings.SlowClient.Duration(),
		RefusalFault:    i.refuse,
	}
}

func (i *Instance) newID() string {
	return string(i.epoch) + "-" + strconv.FormatUint(i.requests.Add(1), 36)
}

func (i *Instance) newNode() *peers.Node {
	return &peers.Node{
		Self: membership.Member{
			ID:         i.settings.Instance,
			Epoch:      i.started.UnixMilli(),
			Address:    i.settings.Peers,
			DataCenter: i.settings.DataCenter,
		},
		Key:          i.config.peerKey,
		Seeds:        i.seedPeers,
		Contribution: i.router.Contribution,
		Totals:       i.applyTotals,
		Generation:   i.router.Generation,
		Config:       i.config.encoded,
		TakeConfig:   i.config.takeFromPeer,
		Progress:     i.router.Progress,
		TakeProgress: i.takeProgress,
		TakeBills:    i.bills.Hold,
		MemberDown: func(member membership.Member) {
			events.PeerDown.Log(i.log, zap.String("peer", string(member.ID)))
		},
	}
}

func (i *Instance) operators() *operators.Server {
	return &operators.Server{Metrics: i.metrics.Handler(), CheckReady: i.ready, Status: i.status}
}

// rate queues an answer for the rating service. If the ring is full the answer
// is dropped, since ratings are a sample anyway.
func (i *Instance) rate(answer raters.Answer) {
	answer.Instance = string(i.settings.Instance)
	select {
	case i.answers <- answer:
	default:
	}
}

func (i *Instance) ready() error {
	switch {
	case i.stopping.Load():
		return errors.New("stopping")
	case i.router.Generation() == 0:
		return errors.New("no configuration yet")
	}
	return nil
}

func (i *Instance) refuse() *faults.Error {
	if i.bills.Full() {
		return faults.New(faults.PlatformUnavailable, "too many bills wait for the store")
	}
	return nil
}

func (i *Instance) seedPeers() []string {
	seeds := i.settings.SeedPeers
	if listed := i.seeds.Load(); listed != nil {
		seeds = append(append([]string(nil), seeds...), *listed...)
	}
	return seeds
}

func (i *Instance) sessionKeys() *sessions.KeyRing {
	index := i.router.Index()
	if index == nil {
		return &sessions.KeyRing{}
	}
	return &sessions.KeyRing{Keys: index.Config.SessionKeys}
}

func newHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute}}
}
