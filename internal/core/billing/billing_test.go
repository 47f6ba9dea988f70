package billing

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// schedule is an owner with a holder and a store, under random failures.
type simulation struct {
	owner, holder Ledger
	account       Account
	// made is the number of bills the owner made, copied those that the
	// holder or the store had when the owner died.
	billCount int64
	ownerDead bool
	copied    map[Seq]bool
}

func (s *simulation) settle(t *rapid.T, ledger *Ledger) {
	bills := ledger.Open(rapid.IntRange(0, ledger.Len()).Draw(t, "some"))
	s.account.Merge(bills)
	for _, bill := range bills {
		s.copied[bill.Seq] = true
	}
	if rapid.Bool().Draw(t, "answer lost") {
		return
	}
	snapshot := s.account
	ledger.Release(&snapshot)
}

func TestEachBillSettlesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{copied: map[Seq]bool{}}
		t.Repeat(map[string]func(*rapid.T){
			"bill": func(*rapid.T) {
				if s.ownerDead {
					return
				}
				s.owner.Add(Bill{Team: "team", Cost: 1})
				s.billCount++
			},
			"copy": func(t *rapid.T) {
				if s.ownerDead {
					return
				}
				bills := s.owner.Open(rapid.IntRange(0, s.owner.Len()).Draw(t, "some"))
				s.holder.Hold(rapid.Permutation(bills).Draw(t, "order"))
				for _, bill := range bills {
					s.copied[bill.Seq] = true
				}
			},
			"owner settles": func(t *rapid.T) {
				if !s.ownerDead {
					s.settle(t, &s.owner)
				}
			},
			"holder settles": func(t *rapid.T) { s.settle(t, &s.holder) },
			"owner dies":     func(*rapid.T) { s.ownerDead = true },
			"":               s.check,
		})
		s.finish(t)
	})
}

// check holds the account against the bills it says are settled.
func (s *simulation) check(t *rapid.T) {
	total := s.account.Totals["team"]
	settled := int64(s.account.SettledThrough) + int64(len(s.account.SettledBeyond))
	if total.Requests != settled || int64(total.Cost) != settled || settled > s.billCount {
		t.Fatalf("account has %d requests of cost %d, %d settled of %d made", total.Requests, total.Cost, settled, s.billCount)
	}
}

// finish lets whoever is left settle, and checks that nothing copied is lost.
func (s *simulation) finish(t *rapid.T) {
	want := int64(len(s.copied))
	if !s.ownerDead {
		s.account.Merge(s.owner.Open(s.owner.Len()))
		want = s.billCount
	}
	s.account.Merge(s.holder.Open(s.holder.Len()))
	if got := s.account.Totals["team"].Requests; got != want {
		t.Fatalf("%d requests are billed, want %d", got, want)
	}
}

func TestAccountKeepsGaps(t *testing.T) {
	is := is.New(t)
	var account Account
	is.True(account.Merge([]Bill{{Seq: 1}, {Seq: 3}, {Seq: 4}}))
	is.Equal(account.SettledThrough, Seq(1))
	is.Equal(account.SettledBeyond, []Seq{3, 4})
	is.True(account.Merge([]Bill{{Seq: 2}}))
	is.Equal(account.SettledThrough, Seq(4))
	is.Equal(len(account.SettledBeyond), 0)
	is.True(!account.Merge([]Bill{{Seq: 2}, {Seq: 4}}))
}
