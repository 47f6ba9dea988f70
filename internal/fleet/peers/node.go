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
	children map[tables.InstanceID]*childState
	// visitors are callers outside the tree.
	visitors map[tables.InstanceID]*childState
	clients  map[clientKey]*client
	sequence uint64
	counter  traffic
	parent   membership.Member
	// parentHeard is when the parent last answered.
	parentHeard time.Time
	// lastTick is when the node last looked at its neighbours.
	lastTick time.Time
	wake     chan struct{}
}

// childState is what the instance keeps about a caller.
type childState struct {
	epoch    int64
	sequence uint64
	heard    time.Time
	sent     linkState
}

// clientKey names a connection to a peer.
type clientKey struct {
	purpose, address string
}

// link is the kind of an exchange.
type link int

// linkState is what has been told over a link, so that only changes are sent.
type linkState struct {
	started bool
	// introduced says that the peer has had the sender's whole record.
	introduced bool
	values     aggregates.Values
	members    uint64
	progress   map[tables.PoolID]rollouts.Progress
}

// The purposes of connections.
const (
	purposeHold   = "hold"
	purposeLink   = "link"
	purposeParent = "parent"
)

// The kinds of exchanges.
const (
	// linkParent goes to the parent in the tree.
	linkParent link = iota
	// linkLeave goes to a former parent.
	linkLeave
	// linkOther goes to any other member.
	linkOther
	// linkOtherFull follows when the member records differed.
	linkOtherFull
)

const (
	// TickInterval is the time between two calls to the parent.
	TickInterval = 500 * time.Millisecond
	// linkInterval is the mean time between two calls to another member.
	linkInterval = 3 * time.Second
	// joinInterval is the longest time between two calls to seeds of an instance
	// that knows no other member: it may have the peers alone to start from.
	joinInterval = 400 * time.Millisecond
	// silence is how long a neighbour may be silent before it counts as down.
	silence = 3 * time.Second
	// valueLimit bounds the inexact values of one message of a node that sets
	// no limit of its own.
	valueLimit = 6
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
	message := &holdMessage{Epoch: epoch, Bills: bills, Account: account}
	return trace.Wrap(n.clientOf(purposeHold, holder.Address).call(ctx, callHold, message, &emptyMessage{}))
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
	if err := mux.Register(n, service{n.encoding()}); err != nil {
		return trace.Wrap(err)
	}
	group, ctx := errgroup.WithContext(ctx)
	server := drpcserver.New(mux)
	group.Go(func() error {
		return trace.Wrap(server.Serve(ctx, countedListener{listener, &n.counter}))
	})
	group.Go(func() error { return n.callParents(ctx) })
	group.Go(func() error { return n.callOthers(ctx) })
	err := group.Wait()
	n.closeClients()
	return trace.Wrap(err)
}

// Stats returns the traffic counts.
func (n *Node) Stats() Stats {
	return n.counter.stats()
}

// Wake makes the next call to the parent at once.
func (n *Node) Wake() {
	n.init()
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

func (n *Node) callOthers(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(n.linkPause()):
		}
		if address, ok := n.randomPeer(); ok {
			n.callOther(ctx, address)
		}
	}
}

// linkPause returns the time until the next call to another member. An instance
// that knows none yet has nobody to hear of a configuration from.
func (n *Node) linkPause() time.Duration {
	n.mutex.Lock()
	alone := len(n.view.Others()) == 0
	n.mutex.Unlock()
	if alone && len(n.Seeds()) > 0 {
		return rand.N(joinInterval)
	}
	return linkInterval/2 + rand.N(linkInterval)
}

// callOther compares member records with another member and levels them.
func (n *Node) callOther(ctx context.Context, address string) {
	c := n.clientOf(purposeLink, address)
	answer, err := n.exchangeWith(ctx, c, linkOther)
	if err != nil {
		return
	}
	n.mutex.Lock()
	differ := answer.Digest != n.view.Digest()
	n.mutex.Unlock()
	if differ {
		_, _ = n.exchangeWith(ctx, c, linkOtherFull)
	}
}

func (n *Node) callParent(ctx context.Context, now time.Time) {
	n.mutex.Lock()
	parent, ok := n.view.ParentOf(n.Self.ID)
	former := n.parent
	if parent.ID != former.ID {
		n.parent = parent
		n.parentHeard = now
		n.tree.ClearTotal()
	}
	n.mutex.Unlock()
	if former.ID != "" && former.ID != parent.ID {
		_, _ = n.exchangeWith(ctx, n.clientOf(purposeParent, former.Address), linkLeave)
	}
	if !ok {
		return
	}
	if _, err := n.exchangeWith(ctx, n.clientOf(purposeParent, parent.Address), linkParent); err != nil {
		n.suspectParent(parent)
		return
	}
	n.mutex.Lock()
	n.parentHeard = time.Now()
	n.mutex.Unlock()
}

func (n *Node) callParents(ctx context.Context) error {
	ticker := time.NewTicker(TickInterval)
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

// clientOf returns the client for a purpose. But for copies of bills only the
// latest address of a purpose is kept.
func (n *Node) clientOf(purpose, address string) *client {
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
		if old.purpose == purpose && old != key && purpose != purposeHold {
			delete(n.clients, old)
			stale = append(stale, known)
		}
	}
	c = n.clients[key]
	if c == nil {
		c = &client{address: address, encoding: n.encoding(), counter: &n.counter}
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

func (n *Node) encoding() sealedEncoding {
	return sealedEncoding{key: n.Key}
}

// exchangeWith makes one exchange over a client and takes its answer.
func (n *Node) exchangeWith(ctx context.Context, c *client, kind link) (*exchange, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.connect(ctx); err != nil {
		return nil, trace.Wrap(err)
	}
	message, subtree := n.composeFor(c, kind)
	answer := &exchange{}
	if err := c.callLocked(ctx, callExchange, message, answer); err != nil {
		return nil, trace.Wrap(err)
	}
	n.counter.exchanges.Add(1)
	if kind == linkParent {
		n.mutex.Lock()
		n.tree.UpdateTotal(time.Now(), unpackValues(answer.Keys, answer.Values), answer.Full, subtree)
		n.mutex.Unlock()
	}
	n.takeNews(answer)
	if err := n.levelConfig(ctx, c, answer.Generation); err != nil {
		return answer, err
	}
	return answer, n.levelDocuments(ctx, c, answer.Documents)
}

func (n *Node) composeFor(c *client, kind link) (*exchange, aggregates.Values) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	inTree := kind == linkParent || kind == linkLeave
	message := n.compose(&c.sent, inTree, inTree)
	message.Leave = kind == linkLeave
	if kind == linkOtherFull {
		message.Members, _ = n.view.ChangesSince(0)
	}
	if kind != linkParent {
		return message, nil
	}
	now := time.Now()
	subtree := n.tree.SubtreeSum(now)
	message.Full = !c.sent.started
	c.sent.started = true
	message.Keys, message.Values = packValues(aggregates.Delta(subtree, c.sent.values, n.tree.Total(now), n.valueLimit()))
	c.sent.apply(message)
	return message, c.sent.values.Clone()
}

func (n *Node) expireChildren(now time.Time) {
	var down []membership.Member
	n.mutex.Lock()
	if now.Sub(n.lastTick) > silence {
		// This instance itself was paused, so silence says nothing yet.
		for _, state := range n.children {
			state.heard = now
		}
		n.parentHeard = now
	}
	n.lastTick = now
	for id, state := range n.children {
		if now.Sub(state.heard) <= silence {
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
	n.tellDown(down)
}

// generation returns the generation in force, zero for a node without a
// configuration of the product's own.
func (n *Node) generation() uint64 {
	if n.Generation == nil {
		return 0
	}
	return n.Generation()
}

func (n *Node) valueLimit() int {
	if n.ValueLimit > 0 {
		return n.ValueLimit
	}
	return valueLimit
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
	n.children = map[tables.InstanceID]*childState{}
	n.visitors = map[tables.InstanceID]*childState{}
	n.clients = map[clientKey]*client{}
	n.wake = make(chan struct{}, 1)
}

// levelConfig brings the older one of two configurations up to the newer.
func (n *Node) levelConfig(ctx context.Context, c *client, generation uint64) error {
	own := n.generation()
	switch {
	case generation > own:
		answer := &configMessage{}
		if err := c.callLocked(ctx, callConfig, &emptyMessage{}, answer); err != nil {
			return trace.Wrap(err)
		}
		n.TakeConfig(answer.Config)
	case generation < own:
		return trace.Wrap(c.callLocked(ctx, callOffer, &configMessage{Config: n.Config()}, &emptyMessage{}))
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
	down := time.Since(n.parentHeard) > silence && n.view.MarkDown(parent.ID)
	n.mutex.Unlock()
	if down {
		n.tellDown([]membership.Member{parent})
	}
}

func (n *Node) tellDown(down []membership.Member) {
	for _, member := range down {
		n.MemberDown(member)
	}
}
