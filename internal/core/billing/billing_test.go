package billing

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// simulation has an owner of bills, a holder of copies and the store's account,
// under random failures.
type simulation struct {
	owner, holder Ledger
	account       Account
	// billCount is the number of bills that the owner created. copied holds
	// the bills that reached the holder or the store.
	billCount int64
	ownerDead bool
	copied    map[Seq]bool
}

// settle merges some bills of a ledger into the account. If the store's answer
// is lost, the ledger keeps them and settles them again.
func (s *simulation) settle(t *rapid.T, ledger *Ledger) {
	bills := ledger.Unsettled(rapid.IntRange(0, ledger.Len()).Draw(t, "some"))
	s.account.Settle(bills)
	for _, bill := range bills {
		s.copied[bill.Seq] = true
	}
	if rapid.Bool().Draw(t, "answer lost") {
		return
	}
	snapshot := s.account
	ledger.RemoveSettled(&snapshot)
}

// A lost answer, or the death of the owner, makes two instances write the same
// bills in any order. Each must count once, and none that was copied may be
// lost.
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
				bills := s.owner.Unsettled(rapid.IntRange(0, s.owner.Len()).Draw(t, "some"))
				s.holder.AddCopies(rapid.Permutation(bills).Draw(t, "order"))
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

// check compares the account's totals with the number of bills that it lists as
// settled.
func (s *simulation) check(t *rapid.T) {
	total := s.account.Totals["team"]
	settled := int64(s.account.SettledThrough) + int64(len(s.account.SettledBeyond))
	if total.Requests != settled || int64(total.Cost) != settled || settled > s.billCount {
		t.Fatalf("account has %d requests of cost %d, but %d bills settled of %d created", total.Requests, total.Cost, settled, s.billCount)
	}
}

// finish settles all bills of the instances that are alive, and checks that no
// copied bill is lost.
func (s *simulation) finish(t *rapid.T) {
	want := int64(len(s.copied))
	if !s.ownerDead {
		s.account.Settle(s.owner.Unsettled(s.owner.Len()))
		want = s.billCount
	}
	s.account.Settle(s.holder.Unsettled(s.holder.Len()))
	if got := s.account.Totals["team"].Requests; got != want {
		t.Fatalf("account has %d requests, want %d", got, want)
	}
}

// A number that arrives late must not be taken as settled because higher ones
// are, and must not count twice.
func TestAccountTracksGapsInSequence(t *testing.T) {
	is := is.New(t)
	var account Account
	is.True(account.Settle([]Bill{{Seq: 1}, {Seq: 3}, {Seq: 4}}))
	is.Equal(account.SettledThrough, Seq(1))
	is.Equal(account.SettledBeyond, []Seq{3, 4})
	is.True(account.Settle([]Bill{{Seq: 2}}))
	is.Equal(account.SettledThrough, Seq(4))
	is.Equal(len(account.SettledBeyond), 0)
	is.True(!account.Settle([]Bill{{Seq: 2}, {Seq: 4}}))
}
