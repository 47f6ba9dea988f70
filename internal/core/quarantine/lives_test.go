package quarantine

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// shareSigns gives all instances the sums in which another one has a sign of the lives.
func (f *fleet) shareSigns(at time.Time, lives ...Life) []Change {
	changes := f.share(at)
	for i := range f.tables {
		for _, life := range lives {
			f.tables[i].fleet.totals[SignKey(life)] = 1
		}
		changes = append(changes, f.tables[i].ApplyTotals(at, f.tables[i].fleet.totals, f.tables[i].fleet.reported)...)
	}
	return changes
}

// loseAnswers records a lost answer with the part on each of three lives, at an instance each.
func (f *fleet) loseAnswers(at time.Time, part PartID) {
	for i := range 3 {
		f.tables[i].RecordLoss(at, Life(strconv.Itoa(i)), "id"+strconv.Itoa(i), []PartID{part})
	}
	f.share(at)
	f.share(at)
}

// TestLivesThatGoOnAreNoEvidence guards against sound parts and requests that stay refused since
// upstreams lose answers and live on, and against bad ones that are released by what is no sign
// of life.
func TestLivesThatGoOnAreNoEvidence(t *testing.T) {
	later := now.Add(signDelay)
	for _, part := range []PartID{"part", bad} {
		t.Run("a sign at another instance withdraws the verdict everywhere "+string(part), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(4)
			f.loseAnswers(now, part)
			is.Equal(f.decisions(now, part), repeat(Refused, 4))
			f.shareSigns(later, "1")
			f.share(later)
			f.share(later)
			is.Equal(f.decisions(later, part)[0] != Refused, true)
			is.Equal(f.decisions(later, part)[3] != Refused, true)
			is.Equal(f.tables[2].Quarantined(), 0)
		})
		t.Run("a sign soon after the loss may be older "+string(part), func(t *testing.T) {
			f := newFleet(4)
			f.loseAnswers(now, part)
			f.shareSigns(now.Add(signDelay/2), "0", "1", "2")
			is.New(t).Equal(f.decisions(now.Add(signDelay/2), part), repeat(Refused, 4))
		})
		t.Run("nothing outlives an end "+string(part), func(t *testing.T) {
			f := newFleet(4)
			f.loseAnswers(now, part)
			for _, life := range []Life{"0", "1", "2"} {
				f.tables[3].RecordEnd(now, life)
			}
			f.share(now)
			f.shareSigns(later, "0", "1", "2")
			f.share(later)
			is.New(t).Equal(f.tables[0].Quarantined()+f.tables[1].Quarantined()+f.tables[2].Quarantined(), 3)
		})
		t.Run("an end that is heard of after signs of the next process counts "+string(part), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(4)
			f.loseAnswers(now, part)
			f.shareSigns(later, "0", "1", "2")
			f.share(later)
			is.Equal(f.tables[0].Quarantined(), 0)
			for _, life := range []Life{"0", "1", "2"} {
				for i := range f.tables {
					f.tables[i].RecordEnd(later, life)
				}
			}
			f.share(later)
			f.share(later)
			is.Equal(f.decisions(later, part), repeat(Refused, 4))
		})
		t.Run("evidence that is gone with its instances withdraws nothing "+string(part), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(4)
			f.loseAnswers(now, part)
			is.Equal(f.decisions(now, part), repeat(Refused, 4))
			f.tables[0], f.tables[1] = Table{}, Table{}
			f.shareSigns(later)
			f.share(later)
			is.Equal(f.decisions(later, part), repeat(Refused, 4))
		})
	}
	t.Run("events of calls that were sent before the loss are signs", func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1)
		for i := range 3 {
			f.tables[0].RecordLoss(now, Life(strconv.Itoa(i)), strconv.Itoa(i), []PartID{"rare"})
		}
		is.Equal(f.decision(now, 0, "rare"), Refused)
		f.tables[0].RecordSign("0", now.Add(signGrace/2))
		f.share(now.Add(signGrace))
		is.Equal(f.decision(now.Add(signGrace), 0, "rare"), Refused)
		f.tables[0].RecordSign("0", now.Add(2*signGrace))
		f.share(now.Add(2 * signGrace))
		is.Equal(f.tables[0].Quarantined(), 0)
	})
}

// TestOnlyConfirmedVerdictsAreStored guards against verdicts that outlive the fleet though only
// lost answers brought them about, and against objects in the store that nobody removes.
func TestOnlyConfirmedVerdictsAreStored(t *testing.T) {
	confirmed := func(changes []Change) (count int) {
		for _, change := range changes {
			if change.Confirmed {
				count++
			}
		}
		return count
	}
	t.Run("at once if lives are known to have ended", func(t *testing.T) {
		f := newFleet(1)
		for i := range 3 {
			f.tables[0].RecordLoss(now, Life(strconv.Itoa(i)), strconv.Itoa(i), []PartID{"bad"})
			f.tables[0].RecordEnd(now, Life(strconv.Itoa(i)))
		}
		is.New(t).Equal(confirmed(f.share(now))+confirmed(f.share(now)), 1)
	})
	t.Run("at once if it is a request, with the verdict", func(t *testing.T) {
		is := is.New(t)
		table := &Table{}
		for i := range 3 {
			table.RecordLoss(now, Life(strconv.Itoa(i)), strconv.Itoa(i), []PartID{bad, "shared"})
		}
		is.Equal(confirmed(table.ApplyTotals(now, nil, nil)), 1)
		is.Equal(confirmed(table.ApplyTotals(now.Add(confirmDelay), nil, nil)), 0)
	})
	t.Run("else after a while, once", func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1)
		f.lose(now, 3, "bad")
		is.Equal(confirmed(f.share(now)), 0)
		is.Equal(confirmed(f.share(now.Add(confirmDelay))), 1)
		is.Equal(confirmed(f.share(now.Add(confirmDelay))), 0)
	})
	t.Run("and removed by who stored it, wherever the answer was", func(t *testing.T) {
		is := is.New(t)
		f := newFleet(4)
		f.lose(now, 3, "sound")
		later := now.Add(confirmDelay)
		f.share(later)
		f.tables[3].RecordAnswer(later, "life", later, []PartID{"sound"})
		stored := 0
		for _, change := range append(f.share(later), f.share(later)...) {
			if change.Released && change.Stored {
				stored++
			}
		}
		is.True(stored > 0)
	})
}

// TestPromptTrials guards against a sound part that was lost on lives that did end and stays
// refused for a minute, and against trials that let a bad part end more than one more life.
func TestPromptTrials(t *testing.T) {
	t.Run("prompt trials end one more life at most", func(t *testing.T) {
		is := is.New(t)
		f := newFleet(4)
		f.lose(now, 3, "bad")
		f.decisions(now, "bad")
		var trials []time.Duration
		for at := time.Duration(0); at < time.Hour; at += time.Second {
			for i, decision := range f.decisions(now.Add(at), "bad") {
				if decision != Refused {
					trials = append(trials, at)
					id := "trial" + at.String()
					f.tables[i].RecordLoss(now.Add(at), Life(id), id, []PartID{"bad"})
				}
			}
			f.share(now.Add(at))
			if at > 10*time.Second {
				at += 9 * time.Second
			}
		}
		is.Equal(len(trials) > 1, true)
		is.Equal(trials[0], 2*time.Second)
		is.True(trials[1] >= time.Minute)
		is.True(len(trials) <= 4)
	})
	t.Run("requests and restored parts have none before a minute", func(t *testing.T) {
		f := newFleet(1)
		f.lose(now, 3, bad)
		f.tables[0].Restore(now, []PartID{"restored"})
		for at := time.Duration(0); at < time.Minute; at += time.Second {
			is.New(t).Equal(f.decision(now.Add(at), 0, bad), Refused)
			is.New(t).Equal(f.decision(now.Add(at), 0, "restored"), Refused)
		}
	})
}

// TestEndedLivesOutweighTheLossRate guards against a bad part that is found late, since the
// calls that are lost beside it, and lost answers, make its losses look like chance.
func TestEndedLivesOutweighTheLossRate(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	for i := range 400 {
		f.tables[i%4].RecordLoss(now, "another", "beside"+strconv.Itoa(i), []PartID{PartID("beside" + strconv.Itoa(i))})
	}
	f.lose(now, 4, "bad")
	is.Equal(f.decisions(now, "bad"), repeat(Suspect, 4))
	for i := range 4 {
		f.tables[0].RecordEnd(now, Life("[bad]-"+strconv.Itoa(i)))
	}
	f.share(now)
	f.share(now)
	f.share(now)
	is.Equal(f.decisions(now, "bad"), repeat(Refused, 4))
}

// TestOnlyOutlivedLossesWithdraw guards against a bad part that is released since evidence is
// missing, though no life goes on after a loss with it.
func TestOnlyOutlivedLossesWithdraw(t *testing.T) {
	t.Run("not when the losses expire after a sign that was taken back", func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1)
		f.lose(now, 5, "bad")
		f.tables[0].RecordSign("[bad]-0", now.Add(400*time.Millisecond))
		f.share(now.Add(500 * time.Millisecond))
		for i := range 5 {
			f.tables[0].RecordEnd(now.Add(time.Second), Life("[bad]-"+strconv.Itoa(i)))
		}
		for at := time.Second; at < 30*time.Minute; at += time.Second {
			f.share(now.Add(at))
		}
		is.Equal(f.tables[0].Quarantined(), 1)
	})
	t.Run("not when instances with losses start again", func(t *testing.T) {
		is := is.New(t)
		f := newFleet(5)
		f.lose(now, 5, "bad")
		is.Equal(f.decisions(now, "bad"), repeat(Refused, 5))
		f.tables[0].RecordSign("[bad]-0", now.Add(time.Second))
		f.share(now.Add(time.Second))
		f.share(now.Add(time.Second))
		for i := 1; i < 5; i++ {
			f.tables[i] = Table{}
		}
		f.share(now.Add(2 * time.Second))
		f.share(now.Add(2 * time.Second))
		is.Equal(f.decisions(now.Add(2*time.Second), "bad"), repeat(Refused, 5))
	})
	t.Run("when the signs come long after the losses", func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1)
		f.lose(now, 3, "sound")
		later := now.Add(2 * outlivedMemory)
		f.share(later)
		f.tables[0].RecordSign("[sound]-0", later)
		f.share(later)
		is.Equal(f.tables[0].Quarantined(), 0)
	})
	t.Run("when the losses of all instances are outlived at one time", func(t *testing.T) {
		is := is.New(t)
		f := newFleet(5)
		f.lose(now, 5, "sound")
		is.Equal(f.decisions(now, "sound"), repeat(Refused, 5))
		later := now.Add(time.Second)
		for i := range 5 {
			f.tables[i].RecordSign(Life("[sound]-"+strconv.Itoa(i)), later)
		}
		f.share(later)
		f.share(later)
		f.share(later)
		is.Equal(f.tables[0].Quarantined()+f.tables[4].Quarantined(), 0)
	})
}
