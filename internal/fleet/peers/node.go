// Package peers implements the protocol between the instances of a fleet, over
// DRPC.
//
// Each instance calls its parent in the tree of members on every tick, and
// gossips with a random member every few seconds. A call carries the changes of
// the subtree's sums, of the member records and of the rollout progress, and
// the generation of the configuration; the response carries the same from the
// other side. The number of neighbours is bounded, so the cost for an instance
// does not grow with the fleet.
package peers

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
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

// Node is this instance's end of the protocol. The function fields connect it
// to the rest of the instance. They must be set before Serve is called and must
// be safe for concurrent use. The functions for what the fleet does not
// exchange (configurations, rollout progress, documents, bills) may be nil.
type Node struct {
	// Self is the member record that this instance starts with.
	Self membership.Member
	// Key returns the HMAC key of the fleet's messages.
	Key func() []byte
	// Seeds returns the addresses of possible peers that the platform lists.
	Seeds func() []string

	// LocalValues returns this instance's own values for the fleet-wide sums.
	LocalValues func(now time.Time) aggregates.Values
	// OnTotals receives the fleet-wide sums and this instance's values in them.
	OnTotals func(now time.Time, totals, reported aggregates.Values)

	// Generation returns the generation of the configuration in force.
	Generation func() uint64
	// EncodedConfig returns the encoded configuration in force.
	EncodedConfig func() []byte
	// ApplyConfig receives a peer's configuration.
	ApplyConfig func(config []byte)

	// Progress returns the rollout progress known here.
	Progress func() []rollouts.Progress
	// MergeProgress receives the rollout progress known to a peer.
	MergeProgress func(progress []rollouts.Progress)

	// Documents are the documents that instances replicate as a whole.
	Documents Documents
	// CallInterval is the time between two calls to the parent. Zero means
	// ParentCallInterval.
	CallInterval time.Duration
	// InexactValueLimit is the maximum number of inexact values in one message.
	// Zero means defaultInexactValueLimit.
	InexactValueLimit int

	// RelayDial connects to an upstream for a peer, for whose calls it waits for room first
	// if wait is not zero. It returns ErrRelayRefused if this instance relays no connection
	// to the address now. If it is nil, none is relayed.
	RelayDial func(ctx context.Context, address string, wait time.Duration) (net.Conn, error)
	// OnRejection is called when the upstream at an address has rejected a call that this
	// instance admitted for a peer. It may be nil.
	OnRejection func(address string)
	// RelayLimit is the maximum number of connections relayed at once. Zero means
	// defaultRelayLimit.
	RelayLimit int

	// StoreBillCopies keeps copies of the bills of the instance that made them,
	// and drops copies of bills that its account has settled.
	StoreBillCopies func(epoch billing.Epoch, bills []billing.Bill, account billing.Account)
	// OnMemberDown is called when a member is found to be down.
	OnMemberDown func(member membership.Member)

	mutex    sync.Mutex
	view     *membership.View
	tree     aggregates.TreeNode
	children map[tables.InstanceID]*callerState
	// gossipCallers are the callers outside the tree.
	gossipCallers map[tables.InstanceID]*callerState
	clients       map[clientKey]*client
	// sequence is the sequence number of the latest message.
	sequence uint64
	counters trafficCounters
	// parent is the parent at the latest call, the zero Member if there was none.
	parent membership.Member
	// parentLastHeard is the time of the parent's last response.
	parentLastHeard time.Time
	// lastTick is the time of the last check for expired children.
	lastTick time.Time
	// relays is the number of connections relayed now, relaySequence the number of
	// those that this process has asked for.
	relays        atomic.Int64
	relaySequence atomic.Uint64
	relaysRefused atomic.Bool
	// relayCallers tells which relay requests of a peer were received.
	relayCallers map[tables.InstanceID]*replayWindow
	// wake triggers a call to the parent before the next tick.
	wake chan struct{}
}

// callerState is the state kept for a caller: its process epoch, the highest
// sequence number received, and what was sent in responses.
type callerState struct {
	epoch     int64
	sequence  uint64
	lastHeard time.Time
	sent      sentState
}

// clientKey identifies a client by the purpose and address of its connection.
type clientKey struct {
	purpose, address string
}

// exchangeKind distinguishes exchanges by their receiver and content.
type exchangeKind int

// sentState records what has been sent to a peer, so that only changes are
// sent.
type sentState struct {
	// fullSent reports that all values have been sent.
	fullSent bool
	// selfSent reports that the sender's whole member record has been sent. Later
	// messages carry only its ID and epoch.
	selfSent bool
	values   aggregates.Values
	// membersVersion is the version of the view up to which member records have
	// been sent.
	membersVersion uint64
	progress       map[tables.PoolID]rollouts.Progress
}

// The purposes of connections. A peer may have one connection for each.
const (
	purposeHoldBills = "hold"
	purposeGossip    = "link"
	purposeParent    = "parent"
)

// The kinds of exchanges.
const (
	// exchangeParent goes to the parent in the tree and carries the sums.
	exchangeParent exchangeKind = iota
	// exchangeLeave notifies a former parent that it is no longer the parent.
	exchangeLeave
	// exchangeGossip goes to a random member and carries a digest of the member
	// records.
	exchangeGossip
	// exchangeGossipFull follows exchangeGossip if the digests differ, and carries
	// all member records.
	exchangeGossipFull
)

const (
	// ParentCallInterval is the time between two calls to the parent if
	// Node.CallInterval is zero.
	ParentCallInterval = 500 * time.Millisecond
	// gossipInterval is the mean time between two calls to random members.
	gossipInterval = 3 * time.Second
	// maxJoinInterval is the maximum time between two calls to seeds while no
	// other member is known. It is short because the instance may have only its
	// peers to get a configuration from.
	maxJoinInterval = 400 * time.Millisecond
	// failureTimeout is the time without messages after which a child or the
	// parent counts as down.
	failureTimeout = 3 * time.Second
	// defaultInexactValueLimit is the maximum number of inexact values in one
	// message if Node.InexactValueLimit is zero.
	defaultInexactValueLimit = 6
)

// BackupHolder returns the member that keeps copies of the bills of an epoch,
// or false if no other member is up.
func (n *Node) BackupHolder(epoch billing.Epoch) (membership.Member, bool) {
	n.init()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.view.BackupHolder(string(epoch))
}

// SendBillCopies sends copies of bills to the member that BackupHolder returns,
// and waits until it has them. It returns an error if there is no such member.
// The totals of the account are not sent.
func (n *Node) SendBillCopies(ctx context.Context, epoch billing.Epoch, bills []billing.Bill, account billing.Account) error {
	holder, ok := n.BackupHolder(epoch)
	if !ok {
		return trace.NotFound("no other member is up to hold the bills of epoch %q", epoch)
	}
	account.Totals = nil
	message := &holdBillsMessage{Epoch: epoch, Bills: bills, Account: account}
	return trace.Wrap(n.clientFor(purposeHoldBills, holder.Address).call(ctx, rpcHoldBills, message, &emptyMessage{}))
}

// Leave sets this instance's state to leaving and calls the parent, from which
// the new state spreads through the fleet. A failure of the call is ignored. From then
// on the node refuses relays.
func (n *Node) Leave(ctx context.Context) {
	n.init()
	n.RefuseRelays()
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

// ActiveMembers returns the members that are up and not leaving.
func (n *Node) ActiveMembers() []tables.InstanceID {
	n.init()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var active []tables.InstanceID
	for _, m := range n.view.Live() {
		if m.State == membership.Up {
			active = append(active, m.ID)
		}
	}
	return active
}

// IsOwner reports whether this instance is responsible for a subject. While
// views differ, more than one instance may be.
func (n *Node) IsOwner(subject string) bool {
	n.init()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.view.IsOwner(subject)
}

// FleetPosition returns the instance's position among the live members of the
// fleet, from 0, and the number of live members. Members with the same view
// agree on the order.
func (n *Node) FleetPosition() (position, count int) {
	n.init()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	live := n.view.Live()
	for i, m := range live {
		if m.ID == n.Self.ID {
			position = i
		}
	}
	return position, len(live)
}

// DataCenterPosition returns the instance's position among the live members of
// its data centre, from 0.
func (n *Node) DataCenterPosition() int {
	n.init()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.view.DataCenterPosition()
}

// Serve serves calls on the listener and calls other members until the context
// is done.
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

// Stats returns the traffic counters.
func (n *Node) Stats() Stats {
	return n.counters.stats()
}

// CallParentNow triggers a call to the parent without waiting for the next
// tick.
func (n *Node) CallParentNow() {
	n.init()
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// gossipLoop calls random members until the context is done.
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

// gossipDelay returns a random time until the next call to a random member. It
// is short while no other member is known but seeds are, because the instance
// may have only its peers to get a configuration from.
func (n *Node) gossipDelay() time.Duration {
	n.mutex.Lock()
	noOthers := len(n.view.Others()) == 0
	n.mutex.Unlock()
	if noOthers && len(n.Seeds()) > 0 {
		return rand.N(maxJoinInterval)
	}
	return gossipInterval/2 + rand.N(gossipInterval)
}

// gossipWith compares digests of member records with another member, and
// exchanges all records if they differ.
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

// callParent exchanges changes with the parent, if there is one. If the parent
// has changed, it first notifies the former one.
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

// parentLoop calls the parent on every tick and on CallParentNow until the
// context is done.
func (n *Node) parentLoop(ctx context.Context) error {
	ticker := time.NewTicker(cmp.Or(n.CallInterval, ParentCallInterval))
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
		n.tree.SetLocalValues(n.LocalValues(now))
		n.mutex.Unlock()
		n.callParent(ctx, now)
		n.reportTotals(time.Now())
	}
}

// clientFor returns the client for a purpose and an address. It closes clients
// of the same purpose with other addresses, except those that send copies of
// bills.
func (n *Node) clientFor(purpose, address string) *client {
	c, stale := n.replaceClient(purpose, address)
	for _, old := range stale {
		old.close()
	}
	return c
}

// replaceClient returns the client for a purpose and an address, and the
// clients that it replaces, which the caller must close.
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

// exchangeWith makes one exchange over a client, applies the response, and
// synchronizes the configuration and the documents with the peer. If that fails
// it returns both the response and the error.
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

// composeRequest returns the request of an exchange. For exchangeParent it also
// returns the subtree's values as the parent has them after the request.
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

// expireChildren removes children from which nothing was received within the
// failure timeout. Those whose parent is this instance are marked as down.
func (n *Node) expireChildren(now time.Time) {
	var down []membership.Member
	n.mutex.Lock()
	if now.Sub(n.lastTick) > failureTimeout {
		// This instance itself was paused, so missing messages do not show that a
		// neighbour is down. The timeouts start again.
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

// generation returns the generation of the configuration in force, zero if the
// node does not synchronize configurations.
func (n *Node) generation() uint64 {
	if n.Generation == nil {
		return 0
	}
	return n.Generation()
}

// inexactValueLimit returns the maximum number of inexact values in one
// message.
func (n *Node) inexactValueLimit() int {
	if n.InexactValueLimit > 0 {
		return n.InexactValueLimit
	}
	return defaultInexactValueLimit
}

func (n *Node) progress() []rollouts.Progress {
	if n.Progress == nil {
		return nil
	}
	return n.Progress()
}

// init creates the node's state unless it exists already.
func (n *Node) init() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.view != nil {
		return
	}
	n.view = membership.NewView(n.Self)
	n.children = map[tables.InstanceID]*callerState{}
	n.gossipCallers = map[tables.InstanceID]*callerState{}
	n.relayCallers = map[tables.InstanceID]*replayWindow{}
	n.clients = map[clientKey]*client{}
	n.wake = make(chan struct{}, 1)
}

// syncConfig fetches the peer's configuration if its generation is higher than
// the local one, and sends the local configuration if it is lower.
func (n *Node) syncConfig(ctx context.Context, c *client, generation uint64) error {
	local := n.generation()
	switch {
	case generation > local:
		answer := &configMessage{}
		if err := c.callLocked(ctx, rpcConfig, &emptyMessage{}, answer); err != nil {
			return trace.Wrap(err)
		}
		n.ApplyConfig(answer.Config)
	case generation < local:
		return trace.Wrap(c.callLocked(ctx, rpcOfferConfig, &configMessage{Config: n.EncodedConfig()}, &emptyMessage{}))
	}
	return nil
}

// randomPeer returns the address of a random other member or seed. Members that
// are down are included, so that the two sides of a healed network partition
// find each other.
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

// reportTotals passes the fleet-wide sums to OnTotals.
func (n *Node) reportTotals(now time.Time) {
	n.mutex.Lock()
	totals := n.tree.Total(now)
	reported := n.tree.LocalValues()
	n.mutex.Unlock()
	n.OnTotals(now, totals, reported)
}

// suspectParent marks the parent as down after the failure timeout.
func (n *Node) suspectParent(parent membership.Member) {
	n.mutex.Lock()
	down := time.Since(n.parentLastHeard) > failureTimeout && n.view.MarkDown(parent.ID)
	n.mutex.Unlock()
	if down {
		n.notifyDown([]membership.Member{parent})
	}
}

// notifyDown calls OnMemberDown for each of the members.
func (n *Node) notifyDown(down []membership.Member) {
	for _, member := range down {
		n.OnMemberDown(member)
	}
}
