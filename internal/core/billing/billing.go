// Package billing keeps the bills of an instance so that each request is
// billed once, whichever instance writes them to the platform's store.
//
// Every bill has a number in the sequence of the process that made it. The
// store holds one account for each such sequence, with the numbers already
// settled, so a repeated or taken-over write changes nothing.
package billing

import (
	"slices"

	"mimosayard/internal/core/tables"
)

// An Account is the settled state of one epoch, as kept in the store.
type Account struct {
	Epoch Epoch `json:"epoch"`
	// SettledThrough says that every sequence number up to it is settled.
	SettledThrough Seq `json:"settled_through"`
	// SettledBeyond lists settled numbers above SettledThrough, sorted.
	SettledBeyond []Seq `json:"settled_beyond,omitempty"`
	// Totals is the sum over the settled bills.
	Totals map[tables.TeamID]Total `json:"totals"`
}

// A Bill is what one request cost.
type Bill struct {
	Seq Seq `json:"seq" cbor:"1,keyasint"`
	// RequestID names the request towards the caller.
	RequestID string           `json:"request_id" cbor:"2,keyasint"`
	Team      tables.TeamID    `json:"team" cbor:"3,keyasint"`
	Prompt    tables.Tokens    `json:"prompt" cbor:"4,keyasint"`
	Answer    tables.Tokens    `json:"answer" cbor:"5,keyasint"`
	Cost      tables.MicroCost `json:"cost" cbor:"6,keyasint"`
}

// An Epoch names one run of one instance's process.
type Epoch string

// A Ledger holds the bills of one epoch that are not settled yet. The zero
// value with an epoch works.
type Ledger struct {
	Epoch Epoch
	// open is sorted by sequence number.
	unsettled []Bill
	lastSeq   Seq
}

// A Seq is the number of a bill within its epoch. The first one is 1.
type Seq uint64

// A Total is the sum of bills.
type Total struct {
	Requests int64            `json:"requests"`
	Prompt   tables.Tokens    `json:"prompt_tokens"`
	Answer   tables.Tokens    `json:"answer_tokens"`
	Cost     tables.MicroCost `json:"cost_micros"`
}

// Merge adds the bills that are not settled yet to the account and reports
// whether there were any.
func (a *Account) Merge(bills []Bill) bool {
	changed := false
	for _, bill := range bills {
		if a.IsSettled(bill.Seq) {
			continue
		}
		if a.Totals == nil {
			a.Totals = map[tables.TeamID]Total{}
		}
		a.Totals[bill.Team] = a.Totals[bill.Team].AddBill(bill)
		a.settle(bill.Seq)
		changed = true
	}
	return changed
}

// Settled reports whether the bill with the number is in the totals.
func (a *Account) IsSettled(seq Seq) bool {
	if seq <= a.SettledThrough {
		return true
	}
	_, found := slices.BinarySearch(a.SettledBeyond, seq)
	return found
}

func (a *Account) settle(seq Seq) {
	index, _ := slices.BinarySearch(a.SettledBeyond, seq)
	a.SettledBeyond = slices.Insert(a.SettledBeyond, index, seq)
	contiguous := 0
	for contiguous < len(a.SettledBeyond) && a.SettledBeyond[contiguous] == a.SettledThrough+1 {
		a.SettledThrough++
		contiguous++
	}
	a.SettledBeyond = slices.Delete(a.SettledBeyond, 0, contiguous)
}

// Add numbers a bill and keeps it until it is settled.
func (l *Ledger) Add(bill Bill) Bill {
	l.lastSeq++
	bill.Seq = l.lastSeq
	l.unsettled = append(l.unsettled, bill)
	return bill
}

// Hold keeps bills that another instance numbered. Bills held already are
// kept once.
func (l *Ledger) Hold(bills []Bill) {
	for _, bill := range bills {
		index, found := l.search(bill.Seq)
		if !found {
			l.unsettled = slices.Insert(l.unsettled, index, bill)
		}
		l.lastSeq = max(l.lastSeq, bill.Seq)
	}
}

// Open returns a copy of up to limit unsettled bills, the oldest first.
func (l *Ledger) Open(limit int) []Bill {
	return slices.Clone(l.unsettled[:min(limit, len(l.unsettled))])
}

// Len returns the number of unsettled bills.
func (l *Ledger) Len() int {
	return len(l.unsettled)
}

// Release drops the bills that the account has settled.
func (l *Ledger) Release(account *Account) {
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

// Plus returns the total with one more bill.
func (t Total) AddBill(bill Bill) Total {
	return Total{
		Requests: t.Requests + 1,
		Prompt:   t.Prompt + bill.Prompt,
		Answer:   t.Answer + bill.Answer,
		Cost:     t.Cost + bill.Cost,
	}
}

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
