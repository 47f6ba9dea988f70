// Package bills keeps the bills of an instance and copies of its peers' bills,
// and settles them in the platform's store.
package bills

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"mimosayard/internal/core/billing"
	"mimosayard/internal/core/membership"
	"mimosayard/internal/instance/delay"
	"mimosayard/internal/platform/objects"
	"mimosayard/internal/telemetry/events"
)

// A Keeper keeps bills. Its exported fields are set before Init; the function
// fields connect it to the peers and are called from several goroutines.
type Keeper struct {
	Epoch   billing.Epoch
	Objects *objects.Client
	Log     *zap.Logger
	// Limit bounds the bills kept while the store is down, Interval is the
	// mean time between two writes to it.
	Limit    int
	Interval time.Duration

	// Holder returns the peer that keeps the copies.
	Holder func() (membership.Member, bool)
	// Copy sends bills to the holder, with the account that says which ones
	// need no copy any more.
	Copy func(ctx context.Context, bills []billing.Bill, account billing.Account) error
	// Alive returns the runs of all members that are not down.
	Alive func() map[billing.Epoch]bool
	// Platform is told whether the store answered.
	Platform func(err error)

	ring    chan pendingBill
	mutex   sync.Mutex
	ledger  billing.Ledger
	account billing.Account
	// holder is the member that has the copies.
	holder membership.Member
	held   map[billing.Epoch]*billing.Ledger
	// heldCount is the number of copies over all owners.
	heldCount int
}

type pendingBill struct {
	bill billing.Bill
	safe chan struct{}
}

const (
	billRing = 4096
	// holdBatch bounds the bills sent to a peer in one message.
	holdBatch = 512
	// holdersFactor bounds the copies held, relative to the own bills.
	holdersFactor = 4

	// Prefix begins the keys of the accounts.
	Prefix objects.Key = "bills/"
)

// Init prepares the keeper.
func (k *Keeper) Init() {
	k.ring = make(chan pendingBill, billRing)
	k.ledger.Epoch = k.Epoch
	k.account.Epoch = k.Epoch
	k.held = map[billing.Epoch]*billing.Ledger{}
}

// Bill keeps a bill and returns when a peer has a copy, or when none can have
// one. It goes on when the caller has gone, since the work was done.
func (k *Keeper) Bill(bill billing.Bill) {
	pending := pendingBill{bill, make(chan struct{})}
	k.ring <- pending
	<-pending.safe
}

// Counts returns the number of own bills that are open, and of copies held.
func (k *Keeper) Counts() (open, held int) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.ledger.Len(), k.heldCount
}

// Full reports whether the bound on waiting bills is reached.
func (k *Keeper) Full() bool {
	open, _ := k.Counts()
	return open >= k.Limit
}

// HandOver settles the bills at the end of the instance. If the store does not
// answer, the holder settles them.
func (k *Keeper) HandOver(ctx context.Context) {
	if err := k.settle(ctx); err == nil {
		return
	}
	k.mutex.Lock()
	bills := k.ledger.Unsettled(k.ledger.Len())
	k.mutex.Unlock()
	k.copyAll(ctx, bills)
}

// copyAll sends bills to the holder in batches, and reports whether it has them.
func (k *Keeper) copyAll(ctx context.Context, bills []billing.Bill) bool {
	for len(bills) > 0 {
		count := min(holdBatch, len(bills))
		k.mutex.Lock()
		account := k.account
		k.mutex.Unlock()
		if err := k.Copy(ctx, bills[:count], account); err != nil {
			return false
		}
		bills = bills[count:]
	}
	return true
}

// RunHold numbers new bills and has copies of them kept, many at a time.
func (k *Keeper) RunHold(ctx context.Context) error {
	for {
		var batch []pendingBill
		select {
		case <-ctx.Done():
			return nil
		case first := <-k.ring:
			batch = append(batch, first)
		}
		for len(batch) < holdBatch && len(k.ring) > 0 {
			batch = append(batch, <-k.ring)
		}
		k.keep(ctx, batch)
	}
}

func (k *Keeper) keep(ctx context.Context, batch []pendingBill) {
	k.mutex.Lock()
	bills := make([]billing.Bill, len(batch))
	for i, pending := range batch {
		bills[i] = k.ledger.Add(pending.bill)
	}
	holder, ok := k.Holder()
	changed := holder.ID != k.holder.ID || holder.Epoch != k.holder.Epoch
	if ok && changed {
		// A new holder has none of the earlier bills.
		k.holder = holder
		bills = k.ledger.Unsettled(k.ledger.Len())
	}
	k.mutex.Unlock()
	if ok && !k.copyAll(ctx, bills) {
		events.BillNotHeld.Log(k.Log, zap.Int("bills", len(bills)))
		k.mutex.Lock()
		k.holder = membership.Member{}
		k.mutex.Unlock()
	}
	for _, pending := range batch {
		close(pending.safe)
	}
}

// RunSettle writes bills to the store, and those of peers that are down.
func (k *Keeper) RunSettle(ctx context.Context) error {
	for delay.Sleep(ctx, delay.WithJitter(k.Interval)) {
		err := k.settle(ctx)
		k.Platform(err)
		if err != nil {
			open, _ := k.Counts()
			events.BillsPending.Log(k.Log, zap.Int("bills", open))
			continue
		}
		k.settleHeld(ctx)
	}
	return nil
}

// settle writes the own bills. It may be repeated after a lost answer: bills
// that are in the account already are passed over.
func (k *Keeper) settle(ctx context.Context) error {
	k.mutex.Lock()
	bills := k.ledger.Unsettled(k.ledger.Len())
	k.mutex.Unlock()
	if len(bills) == 0 {
		return nil
	}
	account, err := k.write(ctx, k.Epoch, bills)
	if err != nil {
		return trace.Wrap(err)
	}
	k.mutex.Lock()
	k.account = account
	k.ledger.RemoveSettled(&account)
	k.mutex.Unlock()
	_ = k.Copy(ctx, nil, account)
	return nil
}

// settleHeld writes the bills of owners that are down or were started anew.
func (k *Keeper) settleHeld(ctx context.Context) {
	for epoch, bills := range k.orphans() {
		account, err := k.write(ctx, epoch, bills)
		if err != nil {
			return
		}
		k.release(epoch, &account)
		events.BillsTaken.Log(k.Log, zap.String("epoch", string(epoch)), zap.Int("bills", len(bills)))
	}
}

// orphans returns the held bills whose owner is gone.
func (k *Keeper) orphans() map[billing.Epoch][]billing.Bill {
	alive := k.Alive()
	k.mutex.Lock()
	defer k.mutex.Unlock()
	orphans := map[billing.Epoch][]billing.Bill{}
	for epoch, held := range k.held {
		if !alive[epoch] {
			orphans[epoch] = held.Unsettled(held.Len())
		}
	}
	return orphans
}

func (k *Keeper) release(epoch billing.Epoch, account *billing.Account) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	held := k.held[epoch]
	if held == nil {
		return
	}
	before := held.Len()
	held.RemoveSettled(account)
	k.heldCount -= before - held.Len()
	if held.Len() == 0 {
		delete(k.held, epoch)
	}
}

// Hold keeps copies of a peer's bills. Over the bound none is kept;
// the owner still has them.
func (k *Keeper) Hold(epoch billing.Epoch, bills []billing.Bill, account billing.Account) {
	k.mutex.Lock()
	held := k.held[epoch]
	if held == nil {
		held = &billing.Ledger{Epoch: epoch}
		k.held[epoch] = held
	}
	if k.heldCount < holdersFactor*k.Limit {
		before := held.Len()
		held.AddCopies(bills)
		k.heldCount += held.Len() - before
	}
	k.mutex.Unlock()
	k.release(epoch, &account)
}

func (k *Keeper) write(ctx context.Context, epoch billing.Epoch, bills []billing.Bill) (billing.Account, error) {
	var account billing.Account
	_, err := k.Objects.Update(ctx, Prefix+objects.Key(epoch), func(value []byte) ([]byte, error) {
		account = billing.Account{Epoch: epoch}
		if len(value) > 0 {
			if err := json.Unmarshal(value, &account); err != nil {
				return nil, trace.Wrap(err)
			}
		}
		if !account.Settle(bills) {
			return nil, nil
		}
		return json.Marshal(account)
	})
	return account, trace.Wrap(err)
}
