// Package bills settles the bills of an instance in the platform's store. Until
// then a peer holds copies of them, if possible, and settles them if the
// instance goes down.
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

// A Settler holds the unsettled bills of an instance and copies of its peers'
// bills, and settles them in the platform's store. Its exported fields must be
// set before Init. The function fields connect it to the rest of the instance
// and are called from several goroutines. After Init, Submit, Counts, Full and
// StoreCopies are safe for concurrent use.
type Settler struct {
	// Epoch is the epoch of the instance's own bills.
	Epoch   billing.Epoch
	Objects *objects.Client
	Log     *zap.Logger
	// MaxOpenBills is the number of unsettled own bills, as they accumulate
	// while the store is down, from which Full returns true.
	MaxOpenBills int
	// SettleInterval is the mean time between two writes to the store.
	SettleInterval time.Duration

	// Holder returns the peer that should hold the copies, false if there is
	// none.
	Holder func() (membership.Member, bool)
	// SendCopies sends bills to the holder, with the account that identifies
	// the copies it can drop.
	SendCopies func(ctx context.Context, bills []billing.Bill, account billing.Account) error
	// LiveEpochs returns the epochs of all members that are not down.
	LiveEpochs func() map[billing.Epoch]bool
	// OnStoreResult is called with the result of each round that settles the
	// own bills, nil if it succeeded or there were none.
	OnStoreResult func(err error)

	queue chan pendingBill
	mutex sync.Mutex
	// ledger holds the own unsettled bills.
	ledger billing.Ledger
	// account is the own account as last written to the store.
	account billing.Account
	// copyHolder is the member that has the copies of the bills in ledger. It
	// is the zero Member before the first batch and after a failure to send.
	copyHolder membership.Member
	// copies holds the copies of peers' bills, by the epoch of their owner.
	copies map[billing.Epoch]*billing.Ledger
	// copyCount is the number of bills in copies.
	copyCount int
}

// pendingBill is a submitted bill that has no sequence number yet.
type pendingBill struct {
	bill billing.Bill
	// done is closed once the holder has a copy, or sending it failed.
	done chan struct{}
}

const (
	queueSize = 4096
	// maxCopyBatch is the maximum number of bills in one message to a peer.
	maxCopyBatch = 512
	// copyLimitFactor times MaxOpenBills is the number of copies from which no
	// more are stored.
	copyLimitFactor = 4

	// KeyPrefix is the prefix of the keys of accounts in the store.
	KeyPrefix objects.Key = "bills/"
)

// Init prepares the settler for use.
func (s *Settler) Init() {
	s.queue = make(chan pendingBill, queueSize)
	s.ledger.Epoch = s.Epoch
	s.account.Epoch = s.Epoch
	s.copies = map[billing.Epoch]*billing.Ledger{}
}

// Submit adds a bill and returns once a peer has a copy of it, or once sending
// the copy failed or no peer can hold it. It takes no context: a request whose
// caller has disconnected is billed too, since the work was done.
func (s *Settler) Submit(bill billing.Bill) {
	pending := pendingBill{bill, make(chan struct{})}
	s.queue <- pending
	<-pending.done
}

// Counts returns the number of own unsettled bills, and of stored copies of
// peers' bills.
func (s *Settler) Counts() (open, copies int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.ledger.Len(), s.copyCount
}

// Full reports whether MaxOpenBills is reached.
func (s *Settler) Full() bool {
	open, _ := s.Counts()
	return open >= s.MaxOpenBills
}

// Flush settles the own bills when the instance stops. If that fails, it sends
// copies of them to the holder, which settles them later.
func (s *Settler) Flush(ctx context.Context) {
	if err := s.settleOwn(ctx); err == nil {
		return
	}
	s.mutex.Lock()
	bills := s.ledger.Unsettled(s.ledger.Len())
	s.mutex.Unlock()
	s.sendCopyBatches(ctx, bills)
}

// sendCopyBatches sends bills to the holder in batches, and reports whether all
// were sent. It stops at the first error.
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

// RunCopying numbers submitted bills and sends copies of them to the holder, in
// batches, until the context ends.
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

// numberAndCopy adds a batch of bills to the ledger and sends copies of them to
// the holder.
func (s *Settler) numberAndCopy(ctx context.Context, batch []pendingBill) {
	s.mutex.Lock()
	bills := make([]billing.Bill, len(batch))
	for i, pending := range batch {
		bills[i] = s.ledger.Add(pending.bill)
	}
	holder, ok := s.Holder()
	changed := holder.ID != s.copyHolder.ID || holder.Epoch != s.copyHolder.Epoch
	if ok && changed {
		// A new holder has no copies of the earlier bills.
		s.copyHolder = holder
		bills = s.ledger.Unsettled(s.ledger.Len())
	}
	s.mutex.Unlock()
	if ok && !s.sendCopyBatches(ctx, bills) {
		events.BillNotCopied.Log(s.Log, zap.Int("bills", len(bills)))
		s.mutex.Lock()
		s.copyHolder = membership.Member{}
		s.mutex.Unlock()
	}
	for _, pending := range batch {
		close(pending.done)
	}
}

// RunSettling settles the own bills at intervals, and those of peers that are
// down, until the context ends.
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

// settleOwn adds the own unsettled bills to the stored account. It can be
// repeated after a lost response, because bills that the account has already
// settled are skipped.
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

// settleOrphans settles the copied bills of owners that are down or have
// restarted. It stops at the first error; the next round tries again.
func (s *Settler) settleOrphans(ctx context.Context) {
	for epoch, bills := range s.orphanedBills() {
		account, err := s.writeAccount(ctx, epoch, bills)
		if err != nil {
			return
		}
		s.removeSettledCopies(epoch, &account)
		events.PeerBillsSettled.Log(s.Log, zap.String("epoch", string(epoch)), zap.Int("bills", len(bills)))
	}
}

// orphanedBills returns the copied bills whose owner's epoch is not live.
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

// removeSettledCopies removes the copies that the owner's account has settled.
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

// StoreCopies stores copies of a peer's bills and removes those that its account
// has settled. Over the limit it stores none; the owner still has the bills.
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

// writeAccount adds bills to the stored account of an epoch and returns the
// account.
func (s *Settler) writeAccount(ctx context.Context, epoch billing.Epoch, bills []billing.Bill) (billing.Account, error) {
	var account billing.Account
	_, err := s.Objects.Update(ctx, KeyPrefix+objects.Key(epoch), func(value []byte) ([]byte, error) {
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
