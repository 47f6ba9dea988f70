// Package peers speaks drpc with the other instances of the fleet.
//
// Each instance calls its parent in the tree of members on every tick, and one
// other member now and then. A call carries the changes of the subtree's sums,
// of the member records and of the rollout progress, and the generation of the
// configuration; its answer carries the same of the other side. The number of
// neighbours is bounded, so the cost for an instance does not grow with the
// fleet.
package peers

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"mimosayard/internal/core/aggregates"
	"mimosayard/internal/core/billing"
	"mimosayard/internal/core/membership"
	"mimosayard/internal/core/rollouts"
	"mimosayard/internal/core/tables"
)

// A Node is this instance among its peers. The function fields connect it to
// the rest of the instance; they are set before Serve and may be called from
// several goroutines.
type Node struct {
	Self membership.Member
	// Key returns the key that the fleet's messages are authenticated with.
	Key func() []byte
	// Seeds returns addresses of peers to try, as the platform lists them.
	Seeds func() []string

	// Contribution returns this instance's values for the fleet's sums.
	Contribution func(now time.Time) aggregates.Values
	// Totals takes the fleet's sums and the own part in them.
	Totals func(now time.Time, totals, reported aggregates.Values)

	// Generation returns the generation of the configuration in force.
	Generation func() uint64
	// Config returns the encoded configuration in force.
	Config func() []byte
	// TakeConfig takes a configuration that a peer has.
	TakeConfig func(config []byte)

	// Progress returns the rollout progress known here.
	Progress func() []rollouts.Progress
	// TakeProgress takes the rollout progress that a peer knows.
	TakeProgress func(progress []rollouts.Progress)

	// Documents are what the instances tell each other whole.
	Documents Documents
	// ValueLimit bounds the inexact values of one message, zero for the default.
	ValueLimit int

	// TakeBills keeps copies of an owner's bills, and drops those that its
	// account has settled.
	TakeBills func(epoch billing.Epoch, bills []billing.Bill, account billing.Account)
	// MemberDown is told when a member is found to be down.
	MemberDown func(member membership.Member)

	mutex    sync.Mutex
	view     *membership.View
	tree     aggregates.TreeNode
	children map[tables.InstanceID]*callerState
	// gossipCallers are callers outside the tree.
	gossipCallers map[tables.InstanceID]*callerState
	clients       map[clientKey]*client
	sequence      uint64
	counters      trafficCounters
	parent        membership.Member
	// parentLastHeard is when the parent last answered.
	parentLastHeard time.Time
	// lastTick is when the node last looked at its neighbours.
	lastTick time.Time
	wake     chan struct{}
}

// callerState is what the instance keeps about a caller.
type callerState struct {
	epoch     int64
	sequence  uint64
	lastHeard time.Time
	sent      sentState
}

// clientKey names a connection to a peer.
type clientKey struct {
	purpose, address string
}

// exchangeKind is the kind of an exchange.
type exchangeKind int

// sentState is what has been told over a link, so that only changes are sent.
type sentState struct {
	fullSent bool
	// selfSent says that the peer has had the sender's whole record.
	selfSent       bool
	values         aggregates.Values
	membersVersion uint64
	progress       map[tables.PoolID]rollouts.Progress
}

// The purposes of connections.
const (
	purposeHoldBills = "hold"
	purposeGossip    = "link"
	purposeParent    = "parent"
)

// The kinds of exchanges.
const (
	// exchangeParent goes to the parent in the tree.
	exchangeParent exchangeKind = iota
	// exchangeLeave goes to a former parent.
	exchangeLeave
	// exchangeGossip goes to any other member.
	exchangeGossip
	// exchangeGossipFull follows when the member records differed.
	exchangeGossipFull
)

const (
	// ParentCallInterval is the time between two calls to the parent.
	ParentCallInterval = 500 * time.Millisecond
	// gossipInterval is the mean time between two calls to another member.
	gossipInterval = 3 * time.Second
	// maxJoinInterval is the longest time between two calls to seeds of an instance
	// that knows no other member: it may have only the peers to start from.
	maxJoinInterval = 400 * time.Millisecond
	// failureTimeout is how long a neighbour may be silent before it counts as down.
	failureTimeout = 3 * time.Second
	// defaultInexactValueLimit bounds the inexact values of one message of a node that sets
	// no limit of its own.
	defaultInexactValueLimit = 6
)

// Holder returns the member that keeps copies of this instance's bills.
func (n *Node) Holder(epoch billing.Epoch) (membership.Member, bool) {
	n.init()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.view.BackupHolder(string(epoch))
}

// HoldBills sends bills to the holder and returns when it has them.
func (n *Node) HoldBills(ctx context.Context, epoch billing.Epoch, bills []billing.Bill, account billing.Account) error {
	holder, ok := n.Holder(epoch)
	if !ok {
		return trace.NotFound("no other member is known to hold bills")
	}
	account.Totals = nil
	message := &holdBillsMessage{Epoch: epoch, Bills: bills, Account: account}
	return trace.Wrap(n.clientFor(purposeHoldBills, holder.Address).call(ctx, rpcHoldBills, message, &emptyMessage{}))
}

// Leave tells the parent and the fleet that the instance is leaving.
func (n *Node) Leave(ctx context.Context) {
	n.init()
	n.mutex.Lock()
	n.view.SetState(membership.Leaving)
	n.mutex.Unlock()
	n.callParent(ctx, time.Now())
}

// Members returns the members that are not down.
func (n *Node) Members() []membership.Member {
	n.init()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return append([]membership.Member(nil), n.view.Live()...)
}

// Owns reports whether this instance is the one that takes care of a subject.
// While views differ there may be more than one.
func (n *Node) Owns(subject string) bool {
	n.init()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.view.IsOwner(subject)
}

// Place returns the instance's place among the live members of the fleet, in
// an order on which members with the same view agree, and their number.
func (n *Node) Place() (place, of int) {
	n.init()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	live := n.view.Live()
	for i, m := range live {
		if m.ID == n.Self.ID {
			place = i
		}
	}
	return place, len(live)
}

// Rank returns the instance's place among the live members of its data
// centre.
func (n *Node) Rank() int {
	n.init()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.view.Rank()
}

// Serve answers peers on the listener and calls them until the context ends.
func (n *Node) Serve(ctx context.Context, listener net.Listener) error {
	n.init()
	mux := drpcmux.New()
	if err := mux.Register(n, rpcDescription{n.encoding()}); err != nil {
		return trace.Wrap(err)
	}
	group, ctx := errgroup.WithContext(ctx)
	server := drpcserver.New(mux)
	group.Go(func() error {
		return trace.Wrap(server.Serve(ctx, countingListener{listener, &n.counters}))
	})
	group.Go(func() error { return n.parentLoop(ctx) })
	group.Go(func() error { return n.gossipLoop(ctx) })
	err := group.Wait()
	n.closeClients()
	return trace.Wrap(err)
}

// Stats returns the traffic counts.
func (n *Node) Stats() Stats {
	return n.counters.stats()
}

// Wake makes the next call to the parent at once.
func (n *Node) Wake() {
	n.init()
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

func (n *Node) gossipLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(n.gossipDelay()):
		}
		if address, ok := n.randomPeer(); ok {
			n.gossipWith(ctx, address)
		}
	}
}

// gossipDelay returns the time until the next call to another member. An instance
// that knows none yet has nobody to hear of a configuration from.
func (n *Node) gossipDelay() time.Duration {
	n.mutex.Lock()
	noOthers := len(n.view.Others()) == 0
	n.mutex.Unlock()
	if noOthers && len(n.Seeds()) > 0 {
		return rand.N(maxJoinInterval)
	}
	return gossipInterval/2 + rand.N(gossipInterval)
}

// gossipWith compares member records with another member and levels them.
func (n *Node) gossipWith(ctx context.Context, address string) {
	c := n.clientFor(purposeGossip, address)
	answer, err := n.exchangeWith(ctx, c, exchangeGossip)
	if err != nil {
		return
	}
	n.mutex.Lock()
	recordsDiffer := answer.Digest != n.view.Digest()
	n.mutex.Unlock()
	if recordsDiffer {
		_, _ = n.exchangeWith(ctx, c, exchangeGossipFull)
	}
}

func (n *Node) callParent(ctx context.Context, now time.Time) {
	n.mutex.Lock()
	parent, ok := n.view.ParentOf(n.Self.ID)
	former := n.parent
	if parent.ID != former.ID {
		n.parent = parent
		n.parentLastHeard = now
		n.tree.ClearTotal()
	}
	n.mutex.Unlock()
	if former.ID != "" && former.ID != parent.ID {
		_, _ = n.exchangeWith(ctx, n.clientFor(purposeParent, former.Address), exchangeLeave)
	}
	if !ok {
		return
	}
	if _, err := n.exchangeWith(ctx, n.clientFor(purposeParent, parent.Address), exchangeParent); err != nil {
		n.suspectParent(parent)
		return
	}
	n.mutex.Lock()
	n.parentLastHeard = time.Now()
	n.mutex.Unlock()
}

func (n *Node) parentLoop(ctx context.Context) error {
	ticker := time.NewTicker(ParentCallInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-n.wake:
		}
		now := time.Now()
		n.expireChildren(now)
		n.mutex.Lock()
		n.tree.SetLocalValues(n.Contribution(now))
		n.mutex.Unlock()
		n.callParent(ctx, now)
		n.reportTotals(time.Now())
	}
}

// clientFor returns the client for a purpose. But for copies of bills only the
// latest address of a purpose is kept.
func (n *Node) clientFor(purpose, address string) *client {
	c, stale := n.replaceClient(purpose, address)
	for _, old := range stale {
		old.close()
	}
	return c
}

func (n *Node) replaceClient(purpose, address string) (c *client, stale []*client) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	key := clientKey{purpose, address}
	for old, known := range n.clients {
		if old.purpose == purpose && old != key && purpose != purposeHoldBills {
			delete(n.clients, old)
			stale = append(stale, known)
		}
	}
	c = n.clients[key]
	if c == nil {
		c = &client{address: address, encoding: n.encoding(), counters: &n.counters}
		n.clients[key] = c
	}
	return c, stale
}

func (n *Node) closeClients() {
	n.mutex.Lock()
	clients := n.clients
	n.clients = map[clientKey]*client{}
	n.mutex.Unlock()
	for _, c := range clients {
		c.close()
	}
}

func (n *Node) encoding() macEncoding {
	return macEncoding{key: n.Key}
}

// exchangeWith makes one exchange over a client and takes its answer.
func (n *Node) exchangeWith(ctx context.Context, c *client, kind exchangeKind) (*exchange, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.connect(ctx); err != nil {
		return nil, trace.Wrap(err)
	}
	message, sentSubtree := n.composeRequest(c, kind)
	answer := &exchange{}
	if err := c.callLocked(ctx, rpcExchange, message, answer); err != nil {
		return nil, trace.Wrap(err)
	}
	n.counters.exchanges.Add(1)
	if kind == exchangeParent {
		n.mutex.Lock()
		n.tree.UpdateTotal(time.Now(), unpackValues(answer.Keys, answer.Values), answer.Full, sentSubtree)
		n.mutex.Unlock()
	}
	n.mergeUpdates(answer)
	if err := n.syncConfig(ctx, c, answer.Generation); err != nil {
		return answer, err
	}
	return answer, n.syncDocuments(ctx, c, answer.DocumentVersions)
}

func (n *Node) composeRequest(c *client, kind exchangeKind) (*exchange, aggregates.Values) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	inTree := kind == exchangeParent || kind == exchangeLeave
	message := n.composeExchange(&c.sent, inTree, inTree)
	message.Leave = kind == exchangeLeave
	if kind == exchangeGossipFull {
		message.Members, _ = n.view.ChangesSince(0)
	}
	if kind != exchangeParent {
		return message, nil
	}
	now := time.Now()
	subtree := n.tree.SubtreeSum(now)
	message.Full = !c.sent.fullSent
	c.sent.fullSent = true
	message.Keys, message.Values = packValues(aggregates.Delta(subtree, c.sent.values, n.tree.Total(now), n.inexactValueLimit()))
	c.sent.recordValues(message)
	return message, c.sent.values.Clone()
}

func (n *Node) expireChildren(now time.Time) {
	var down []membership.Member
	n.mutex.Lock()
	if now.Sub(n.lastTick) > failureTimeout {
		// This instance itself was paused, so silence says nothing yet.
		for _, state := range n.children {
			state.lastHeard = now
		}
		n.parentLastHeard = now
	}
	n.lastTick = now
	for id, state := range n.children {
		if now.Sub(state.lastHeard) <= failureTimeout {
			continue
		}
		delete(n.children, id)
		n.tree.RemoveChild(string(id))
		parent, ok := n.view.ParentOf(id)
		if ok && parent.ID == n.Self.ID && n.view.MarkDown(id) {
			member, _ := n.view.Get(id)
			down = append(down, member)
		}
	}
	n.mutex.Unlock()
	n.notifyDown(down)
}

// generation returns the generation in force, zero for a node without a
// configuration of the product's own.
func (n *Node) generation() uint64 {
	if n.Generation == nil {
		return 0
	}
	return n.Generation()
}

func (n *Node) inexactValueLimit() int {
	if n.ValueLimit > 0 {
		return n.ValueLimit
	}
	return defaultInexactValueLimit
}

func (n *Node) progress() []rollouts.Progress {
	if n.Progress == nil {
		return nil
	}
	return n.Progress()
}

func (n *Node) init() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.view != nil {
		return
	}
	n.view = membership.NewView(n.Self)
	n.children = map[tables.InstanceID]*callerState{}
	n.gossipCallers = map[tables.InstanceID]*callerState{}
	n.clients = map[clientKey]*client{}
	n.wake = make(chan struct{}, 1)
}

// syncConfig brings the older one of two configurations up to the newer.
func (n *Node) syncConfig(ctx context.Context, c *client, generation uint64) error {
	local := n.generation()
	switch {
	case generation > local:
		answer := &configMessage{}
		if err := c.callLocked(ctx, rpcConfig, &emptyMessage{}, answer); err != nil {
			return trace.Wrap(err)
		}
		n.TakeConfig(answer.Config)
	case generation < local:
		return trace.Wrap(c.callLocked(ctx, rpcOfferConfig, &configMessage{Config: n.Config()}, &emptyMessage{}))
	}
	return nil
}

// randomPeer returns the address of a member, live or not, or of a seed.
func (n *Node) randomPeer() (string, bool) {
	n.mutex.Lock()
	var addresses []string
	for _, m := range n.view.Others() {
		addresses = append(addresses, m.Address)
	}
	n.mutex.Unlock()
	for _, seed := range n.Seeds() {
		if seed != n.Self.Address {
			addresses = append(addresses, seed)
		}
	}
	if len(addresses) == 0 {
		return "", false
	}
	return addresses[rand.IntN(len(addresses))], true
}

func (n *Node) reportTotals(now time.Time) {
	n.mutex.Lock()
	totals := n.tree.Total(now)
	reported := n.tree.LocalValues()
	n.mutex.Unlock()
	n.Totals(now, totals, reported)
}

func (n *Node) suspectParent(parent membership.Member) {
	n.mutex.Lock()
	down := time.Since(n.parentLastHeard) > failureTimeout && n.view.MarkDown(parent.ID)
	n.mutex.Unlock()
	if down {
		n.notifyDown([]membership.Member{parent})
	}
}

func (n *Node) notifyDown(down []membership.Member) {
	for _, member := range down {
		n.MemberDown(member)
	}
}
