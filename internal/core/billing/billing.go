// Package billing keeps the bills of an instance so that each request is
// billed exactly once, whichever instance writes its bill to the platform's
// store.
//
// Each bill has a sequence number, unique within the process that created it.
// The store holds one account for each process, with the numbers already
// settled. Writes are therefore idempotent: a repeated write, or one by another
// instance, adds nothing.
package billing

import (
	"slices"

	"mimosayard/internal/core/tables"
)

// An Account is the settled state of one epoch, as kept in the store.
type Account struct {
	Epoch Epoch `json:"epoch"`
	// SettledThrough is the highest number such that all up to it are settled.
	SettledThrough Seq `json:"settled_through"`
	// SettledBeyond lists the settled numbers above SettledThrough, ascending.
	SettledBeyond []Seq `json:"settled_beyond,omitempty"`
	// Totals holds the sum of the settled bills of each team.
	Totals map[tables.TeamID]Total `json:"totals"`
}

// A Bill is what one request cost.
type Bill struct {
	Seq Seq `json:"seq" cbor:"1,keyasint"`
	// RequestID is the request's ID, as returned to the caller.
	RequestID string           `json:"request_id" cbor:"2,keyasint"`
	Team      tables.TeamID    `json:"team" cbor:"3,keyasint"`
	Prompt    tables.Tokens    `json:"prompt" cbor:"4,keyasint"`
	Answer    tables.Tokens    `json:"answer" cbor:"5,keyasint"`
	Cost      tables.MicroCost `json:"cost" cbor:"6,keyasint"`
}

// An Epoch identifies one run of one instance's process.
type Epoch string

// A Ledger holds the unsettled bills of one epoch. The zero value with its
// Epoch set is ready to use. It is not safe for concurrent use.
type Ledger struct {
	Epoch Epoch
	// unsettled is sorted by sequence number.
	unsettled []Bill
	lastSeq   Seq
}

// A Seq is the sequence number of a bill within its epoch, from 1.
type Seq uint64

// A Total is the sum of bills.
type Total struct {
	Requests int64            `json:"requests"`
	Prompt   tables.Tokens    `json:"prompt_tokens"`
	Answer   tables.Tokens    `json:"answer_tokens"`
	Cost     tables.MicroCost `json:"cost_micros"`
}

// Settle adds the bills that the account has not settled to its totals, marks
// them as settled and reports whether there were any.
func (a *Account) Settle(bills []Bill) bool {
	changed := false
	for _, bill := range bills {
		if a.IsSettled(bill.Seq) {
			continue
		}
		if a.Totals == nil {
			a.Totals = map[tables.TeamID]Total{}
		}
		a.Totals[bill.Team] = a.Totals[bill.Team].AddBill(bill)
		a.markSettled(bill.Seq)
		changed = true
	}
	return changed
}

// IsSettled reports whether the totals include the bill with the number.
func (a *Account) IsSettled(seq Seq) bool {
	if seq <= a.SettledThrough {
		return true
	}
	_, found := slices.BinarySearch(a.SettledBeyond, seq)
	return found
}

// markSettled marks a number as settled and moves numbers without a gap from
// SettledBeyond to SettledThrough.
func (a *Account) markSettled(seq Seq) {
	index, _ := slices.BinarySearch(a.SettledBeyond, seq)
	a.SettledBeyond = slices.Insert(a.SettledBeyond, index, seq)
	contiguous := 0
	for contiguous < len(a.SettledBeyond) && a.SettledBeyond[contiguous] == a.SettledThrough+1 {
		a.SettledThrough++
		contiguous++
	}
	a.SettledBeyond = slices.Delete(a.SettledBeyond, 0, contiguous)
}

// Add gives a bill the next sequence number, keeps it until RemoveSettled and
// returns it.
func (l *Ledger) Add(bill Bill) Bill {
	l.lastSeq++
	bill.Seq = l.lastSeq
	l.unsettled = append(l.unsettled, bill)
	return bill
}

// AddCopies adds copies of bills that another instance numbered. A bill already
// held is not added again.
func (l *Ledger) AddCopies(bills []Bill) {
	for _, bill := range bills {
		index, found := l.search(bill.Seq)
		if !found {
			l.unsettled = slices.Insert(l.unsettled, index, bill)
		}
		l.lastSeq = max(l.lastSeq, bill.Seq)
	}
}

// Unsettled returns a copy of up to limit unsettled bills, lowest number first.
func (l *Ledger) Unsettled(limit int) []Bill {
	return slices.Clone(l.unsettled[:min(limit, len(l.unsettled))])
}

// Len returns the number of unsettled bills.
func (l *Ledger) Len() int {
	return len(l.unsettled)
}

// RemoveSettled removes the bills that the account has settled.
func (l *Ledger) RemoveSettled(account *Account) {
	l.unsettled = slices.DeleteFunc(l.unsettled, func(b Bill) bool { return account.IsSettled(b.Seq) })
}

// Add returns the sum of two totals.
func (t Total) Add(other Total) Total {
	return Total{
		Requests: t.Requests + other.Requests,
		Prompt:   t.Prompt + other.Prompt,
		Answer:   t.Answer + other.Answer,
		Cost:     t.Cost + other.Cost,
	}
}

// AddBill returns the total with a bill added.
func (t Total) AddBill(bill Bill) Total {
	return Total{
		Requests: t.Requests + 1,
		Prompt:   t.Prompt + bill.Prompt,
		Answer:   t.Answer + bill.Answer,
		Cost:     t.Cost + bill.Cost,
	}
}

// search returns the index of the bill with the number, or where to insert it,
// and whether the ledger has it.
func (l *Ledger) search(seq Seq) (int, bool) {
	return slices.BinarySearchFunc(l.unsettled, seq, func(b Bill, s Seq) int {
		switch {
		case b.Seq < s:
			return -1
		case b.Seq > s:
			return 1
		}
		return 0
	})
}
