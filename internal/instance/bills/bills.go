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
type Settler struct {
	Epoch   billing.Epoch
	Objects *objects.Client
	Log     *zap.Logger
	// Limit bounds the bills kept while the store is down, Interval is the
	// mean time between two writes to it.
	MaxOpenBills   int
	SettleInterval time.Duration

	// Holder returns the peer that keeps the copies.
	Holder func() (membership.Member, bool)
	// Copy sends bills to the holder, with the account that says which ones
	// need no copy any more.
	SendCopies func(ctx context.Context, bills []billing.Bill, account billing.Account) error
	// Alive returns the runs of all members that are not down.
	LiveEpochs func() map[billing.Epoch]bool
	// Platform is told whether the store answered.
	OnStoreResult func(err error)

	queue   chan pendingBill
	mutex   sync.Mutex
	ledger  billing.Ledger
	account billing.Account
	// holder is the member that has the copies.
	copyHolder membership.Member
	copies     map[billing.Epoch]*billing.Ledger
	// heldCount is the number of copies over all owners.
	copyCount int
}

type pendingBill struct {
	bill billing.Bill
	done chan struct{}
}

const (
	queueSize = 4096
	// holdBatch bounds the bills sent to a peer in one message.
	maxCopyBatch = 512
	// holdersFactor bounds the copies held, relative to the own bills.
	copyLimitFactor = 4

	// Prefix begins the keys of the accounts.
	Prefix objects.Key = "bills/"
)

// Init prepares the keeper.
func (s *Settler) Init() {
	s.queue = make(chan pendingBill, queueSize)
	s.ledger.Epoch = s.Epoch
	s.account.Epoch = s.Epoch
	s.copies = map[billing.Epoch]*billing.Ledger{}
}

// Bill keeps a bill and returns when a peer has a copy, or when none can have
// one. It goes on when the caller has gone, since the work was done.
func (s *Settler) Submit(bill billing.Bill) {
	pending := pendingBill{bill, make(chan struct{})}
	s.queue <- pending
	<-pending.done
}

// Counts returns the number of own bills that are open, and of copies held.
func (s *Settler) Counts() (open, copies int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.ledger.Len(), s.copyCount
}

// Full reports whether the bound on waiting bills is reached.
func (s *Settler) Full() bool {
	open, _ := s.Counts()
	return open >= s.MaxOpenBills
}

// HandOver settles the bills at the end of the instance. If the store does not
// answer, the holder settles them.
func (s *Settler) Flush(ctx context.Context) {
	if err := s.settleOwn(ctx); err == nil {
		return
	}
	s.mutex.Lock()
	bills := s.ledger.Unsettled(s.ledger.Len())
	s.mutex.Unlock()
	s.sendCopyBatches(ctx, bills)
}

// copyAll sends bills to the holder in batches, and reports whether it has them.
func (s *Settler) sendCopyBatches(ctx context.Context, bills []billing.Bill) bool {
	for len(bills) > 0 {
		count := min(maxCopyBatch, len(bills))
		s.mutex.Lock()
		account := s.account
		s.mutex.Unlock()
		if err := s.SendCopies(ctx, bills[:count], account); err != nil {
			return false
		}
		bills = bills[count:]
	}
	return true
}

// RunHold numbers new bills and has copies of them kept, many at a time.
func (s *Settler) RunCopying(ctx context.Context) error {
	for {
		var batch []pendingBill
		select {
		case <-ctx.Done():
			return nil
		case pending := <-s.queue:
			batch = append(batch, pending)
		}
		for len(batch) < maxCopyBatch && len(s.queue) > 0 {
			batch = append(batch, <-s.queue)
		}
		s.numberAndCopy(ctx, batch)
	}
}

func (s *Settler) numberAndCopy(ctx context.Context, batch []pendingBill) {
	s.mutex.Lock()
	bills := make([]billing.Bill, len(batch))
	for i, pending := range batch {
		bills[i] = s.ledger.Add(pending.bill)
	}
	holder, ok := s.Holder()
	changed := holder.ID != s.copyHolder.ID || holder.Epoch != s.copyHolder.Epoch
	if ok && changed {
		// A new holder has none of the earlier bills.
		s.copyHolder = holder
		bills = s.ledger.Unsettled(s.ledger.Len())
	}
	s.mutex.Unlock()
	if ok && !s.sendCopyBatches(ctx, bills) {
		events.BillNotHeld.Log(s.Log, zap.Int("bills", len(bills)))
		s.mutex.Lock()
		s.copyHolder = membership.Member{}
		s.mutex.Unlock()
	}
	for _, pending := range batch {
		close(pending.done)
	}
}

// RunSettle writes bills to the store, and those of peers that are down.
func (s *Settler) RunSettling(ctx context.Context) error {
	for delay.Sleep(ctx, delay.WithJitter(s.SettleInterval)) {
		err := s.settleOwn(ctx)
		s.OnStoreResult(err)
		if err != nil {
			open, _ := s.Counts()
			events.BillsPending.Log(s.Log, zap.Int("bills", open))
			continue
		}
		s.settleOrphans(ctx)
	}
	return nil
}

// settle writes the own bills. It may be repeated after a lost answer: bills
// that are in the account already are passed over.
func (s *Settler) settleOwn(ctx context.Context) error {
	s.mutex.Lock()
	bills := s.ledger.Unsettled(s.ledger.Len())
	s.mutex.Unlock()
	if len(bills) == 0 {
		return nil
	}
	account, err := s.writeAccount(ctx, s.Epoch, bills)
	if err != nil {
		return trace.Wrap(err)
	}
	s.mutex.Lock()
	s.account = account
	s.ledger.RemoveSettled(&account)
	s.mutex.Unlock()
	_ = s.SendCopies(ctx, nil, account)
	return nil
}

// settleHeld writes the bills of owners that are down or were started anew.
func (s *Settler) settleOrphans(ctx context.Context) {
	for epoch, bills := range s.orphanedBills() {
		account, err := s.writeAccount(ctx, epoch, bills)
		if err != nil {
			return
		}
		s.removeSettledCopies(epoch, &account)
		events.BillsTaken.Log(s.Log, zap.String("epoch", string(epoch)), zap.Int("bills", len(bills)))
	}
}

// orphans returns the held bills whose owner is gone.
func (s *Settler) orphanedBills() map[billing.Epoch][]billing.Bill {
	live := s.LiveEpochs()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	orphans := map[billing.Epoch][]billing.Bill{}
	for epoch, ledger := range s.copies {
		if !live[epoch] {
			orphans[epoch] = ledger.Unsettled(ledger.Len())
		}
	}
	return orphans
}

func (s *Settler) removeSettledCopies(epoch billing.Epoch, account *billing.Account) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	ledger := s.copies[epoch]
	if ledger == nil {
		return
	}
	lengthBefore := ledger.Len()
	ledger.RemoveSettled(account)
	s.copyCount -= lengthBefore - ledger.Len()
	if ledger.Len() == 0 {
		delete(s.copies, epoch)
	}
}

// Hold keeps copies of a peer's bills. Over the bound none is kept;
// the owner still has them.
func (s *Settler) StoreCopies(epoch billing.Epoch, bills []billing.Bill, account billing.Account) {
	s.mutex.Lock()
	ledger := s.copies[epoch]
	if ledger == nil {
		ledger = &billing.Ledger{Epoch: epoch}
		s.copies[epoch] = ledger
	}
	if s.copyCount < copyLimitFactor*s.MaxOpenBills {
		lengthBefore := ledger.Len()
		ledger.AddCopies(bills)
		s.copyCount += ledger.Len() - lengthBefore
	}
	s.mutex.Unlock()
	s.removeSettledCopies(epoch, &account)
}

func (s *Settler) writeAccount(ctx context.Context, epoch billing.Epoch, bills []billing.Bill) (billing.Account, error) {
	var account billing.Account
	_, err := s.Objects.Update(ctx, Prefix+objects.Key(epoch), func(value []byte) ([]byte, error) {
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
