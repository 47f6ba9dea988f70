package quarantine

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosayard/internal/core/aggregates"
)

// fleetCounts are the sums over the fleet as of the last ApplyTotals.
type fleetCounts struct {
	totals, reported aggregates.Values
	// position is this instance's position among the instances of the fleet, and
	// instances their number, zero while it is not known.
	position, instances int
	// otherLives caches the lives that other instances tell, by part.
	otherLives map[PartID]toldLives
}

// toldLives are the lives on which other instances lost requests with a part.
type toldLives struct {
	seen buckets
	// untold is the number of lives of which no bucket is known: those of earlier builds,
	// which have buckets for requests only.
	untold float64
}

// The names of the sums of a part.
const (
	keyLives       = "lives"
	keyAnswers     = "answers"
	keyQuarantined = "quarantined"
	// keyEnded is the number of lives that are known to have ended, and keyWithdrawn of the
	// instances that have withdrawn the quarantine. Earlier builds have neither.
	keyEnded     = "ended"
	keyWithdrawn = "withdrawn"
	// keyOutlivedBuckets is the key of the first of the buckets of lives that have outlived a
	// loss of a quarantined part. Earlier builds do not have it.
	keyOutlivedBuckets = "outlived_buckets"
	// keyLifeBuckets and keyRequestBuckets are the keys of the first of the buckets of
	// lives and requests.
	keyLifeBuckets    = "life_buckets"
	keyRequestBuckets = "request_buckets"
)

// maxSharedParts bounds the parts of which an instance tells the fleet its losses.
const maxSharedParts = 32

// evidenceKey is the key of the number of losses and quarantined parts that instances
// remember.
var evidenceKey = aggregates.NewExactKey("prompt_part_evidence")

// The keys of the numbers of recent calls. Instances tell them only while there is
// evidence.
var (
	lostCallsKey     = aggregates.NewExactKey("prompt_calls", "lost")
	answeredCallsKey = aggregates.NewExactKey("prompt_calls", "answered")
)

// SetFleetPosition sets this instance's position among the instances of the fleet and
// their number. One of them is in charge of the trials of a part.
func (t *Table) SetFleetPosition(position, instances int) {
	t.fleet.position, t.fleet.instances = position, instances
}

// Contribution calls set for each of this instance's parts of the sums.
func (t *Table) Contribution(now time.Time, set func(key aggregates.Key, value float64)) {
	t.expire(now)
	set(evidenceKey, float64(len(t.losses)+len(t.quarantined)))
	if len(t.losses) > 0 || t.fleet.hasEvidence() {
		t.calls.decay(now)
		set(lostCallsKey, math.Round(t.calls.lost))
		set(answeredCallsKey, math.Round(t.calls.answered))
	}
	for life := range t.ended {
		set(endKey(life), 1)
	}
	for part := range t.withdrawn {
		set(partKey(keyWithdrawn, part), 1)
	}
	for _, l := range t.losses {
		if !l.outlived && t.hasQuarantined(l) {
			set(lifeKey(l.life), 1)
		}
	}
	t.contributeLosses(set)
	for part, lives := range t.outlivedLives() {
		for life := range lives {
			set(partKey(keyOutlivedBuckets, part).Offset(bucketOf(string(life))), 1)
		}
	}
	for part := range t.sharedAnswers {
		set(partKey(keyAnswers, part), 1)
	}
	for part := range t.quarantined {
		set(partKey(keyQuarantined, part), 1)
	}
}

// contributeLosses calls set for the counts of the losses of the worst parts, and for the lives
// of them of which it is not known whether they go on.
func (t *Table) contributeLosses(set func(key aggregates.Key, value float64)) {
	for _, part := range t.worstParts() {
		own := t.tally()[part]
		set(partKey(keyLives, part), float64(len(own.lives)))
		if len(own.ended) > 0 {
			set(partKey(keyEnded, part), float64(len(own.ended)))
		}
		for life := range own.lives {
			set(partKey(keyLifeBuckets, part).Offset(bucketOf(string(life))), 1)
			if !own.ended[life] {
				set(lostKey(life), 1)
			}
		}
		if part.IsRequest() {
			continue
		}
		for request := range own.requests {
			set(partKey(keyRequestBuckets, part).Offset(bucketOf(request)), 1)
		}
	}
}

// worstParts returns the parts of this instance's losses, at most maxSharedParts: those
// with the most lives, and of these the latest ones.
func (t *Table) worstParts() []PartID {
	tallies := t.tally()
	parts := slices.Collect(maps.Keys(tallies))
	slices.SortFunc(parts, func(a, b PartID) int {
		return cmp.Or(
			-compareBool(t.quarantined[a] != nil, t.quarantined[b] != nil),
			cmp.Compare(len(tallies[b].lives), len(tallies[a].lives)),
			tallies[b].latest.Compare(tallies[a].latest),
			cmp.Compare(a, b),
		)
	})
	return parts[:min(len(parts), maxSharedParts)]
}

// ApplyTotals replaces the sums over the fleet, of which reported is this instance's
// part. It quarantines and releases parts by them and returns the changes since the
// last call.
func (t *Table) ApplyTotals(now time.Time, totals, reported aggregates.Values) []Change {
	t.fleet.totals, t.fleet.reported = totals, reported
	t.fleet.otherLives = nil
	t.tallies = nil
	t.expire(now)
	if t.fleet.hasEvidence() {
		t.applySigns(now)
		t.shareAnswers(now)
		t.applyAnswers()
		t.withdraw(now)
		t.quarantineWorst(now)
		t.confirm(now)
	}
	changes := t.changes
	t.changes = nil
	return changes
}

// applySigns applies what the others know of the lives on which this instance lost calls.
func (t *Table) applySigns(now time.Time) {
	for _, l := range t.losses {
		if !l.ended && t.fleet.othersOf(endKey(l.life)) > 0 {
			t.endLosses(now, l.life)
		}
	}
	t.outlive(now, func(l loss) bool { return now.Sub(l.at) >= signDelay && t.fleet.othersOf(SignKey(l.life)) > 0 })
}

// withdraw releases the parts whose evidence no longer suffices, since lives have outlived
// their losses. It does not where the evidence would not suffice with the outlived losses either:
// others that had the rest are gone, or it has expired.
func (t *Table) withdraw(now time.Time) {
	outlived := t.outlivedLives()
	for _, part := range slices.Sorted(maps.Keys(t.quarantined)) {
		switch {
		case t.lives(part) >= minLives:
		case len(outlived[part]) > 0 && t.livesWithOutlived(part, outlived[part]) >= minLives:
			if t.withdrawn == nil {
				t.withdrawn = map[PartID]time.Time{}
			}
			t.withdrawn[part] = now
			t.release(part, true, ReleasedByLives)
		case t.fleet.others(keyWithdrawn, part) > 0:
			t.release(part, false, ReleasedByLives)
		}
	}
}

// livesWithOutlived returns the number of lives, over the fleet, on which requests with a
// quarantined part were lost, with those that have outlived it. Own are those of this instance.
func (t *Table) livesWithOutlived(part PartID, own map[Life]bool) float64 {
	others := t.fleet.lifeBuckets(part)
	seen := others.seen
	for life := range own {
		seen.add(string(life))
	}
	if tally := t.tally()[part]; tally != nil {
		for life := range tally.lives {
			seen.add(string(life))
		}
	}
	return t.fleet.countBuckets(partKey(keyOutlivedBuckets, part), &seen) + others.untold
}

// isWithdrawn reports whether any instance has withdrawn the quarantine of the part, and there
// is no new evidence for it.
func (t *Table) isWithdrawn(part PartID) bool {
	_, own := t.withdrawn[part]
	return (own || t.fleet.others(keyWithdrawn, part) > 0) && t.lives(part) < minLives
}

// confirm has the quarantines of shared parts stored on which this instance decided and that are not likely to
// be withdrawn, so that none is restored that only lost answers brought about.
func (t *Table) confirm(now time.Time) {
	for _, part := range slices.Sorted(maps.Keys(t.quarantined)) {
		s := t.quarantined[part]
		if !s.decided || s.stored {
			continue
		}
		if t.endedLives(part) >= confirmLives || now.Sub(s.since) >= confirmDelay {
			t.confirmPart(part, s)
		}
	}
}

// confirmPart has the quarantine of a part stored.
func (t *Table) confirmPart(part PartID, s *quarantineState) {
	s.stored = true
	t.changes = append(t.changes, Change{Part: part, Decided: true, Confirmed: true, Lives: t.lives(part), Requests: t.requests(part)})
}

// shareAnswers tells the fleet of the parts that this instance saw an answer to and that
// some instance lost requests with.
func (t *Table) shareAnswers(now time.Time) {
	for part, at := range t.answered {
		if now.Sub(at) < answerMemory && (t.fleet.lives(part) > 0 || t.fleet.isQuarantined(part)) {
			t.shareAnswer(part)
		}
	}
}

// applyAnswers clears and releases the parts that other instances saw answers to.
func (t *Table) applyAnswers() {
	for part := range t.quarantined {
		switch {
		case t.sharedAnswers[part]:
			t.release(part, true, ReleasedByAnswer)
		case t.fleet.others(keyAnswers, part) > 0:
			t.release(part, false, ReleasedByPeer)
		}
	}
	cleared := map[PartID]bool{}
	for _, l := range t.losses {
		for _, part := range l.parts {
			if t.fleet.others(keyAnswers, part) > 0 {
				cleared[part] = true
			}
		}
	}
	for part := range cleared {
		t.clear(part)
	}
}

// expire removes what no longer counts.
func (t *Table) expire(now time.Time) {
	t.removeLosses(func(l loss) bool {
		return now.Sub(l.at) > lossMemory || l.outlived && now.Sub(l.outlivedAt) > outlivedMemory
	})
	maps.DeleteFunc(t.ended, func(_ Life, at time.Time) bool { return now.Sub(at) > endMemory })
	maps.DeleteFunc(t.withdrawn, func(_ PartID, at time.Time) bool { return now.Sub(at) > withdrawalMemory })
	for part := range t.sharedAnswers {
		if now.Sub(t.answered[part]) >= answerMemory {
			delete(t.sharedAnswers, part)
		}
	}
	for part, s := range t.quarantined {
		if now.Sub(s.since) > quarantineTTL {
			t.release(part, t.fleet.inCharge(part), ReleasedByAge)
		}
	}
}

// hasEvidence reports whether any instance remembers losses or quarantined parts.
func (f *fleetCounts) hasEvidence() bool {
	return f.totals[evidenceKey] > 0
}

// others returns a sum of a part without this instance's own part of it.
func (f *fleetCounts) others(name string, part PartID) float64 {
	return f.othersOf(partKey(name, part))
}

// othersOf returns a sum without this instance's own part of it.
func (f *fleetCounts) othersOf(key aggregates.Key) float64 {
	return f.totals.Others(f.reported, key)
}

// lives returns the fleet's number of lives on which requests with the part were
// lost.
func (f *fleetCounts) lives(part PartID) float64 {
	return f.totals[partKey(keyLives, part)]
}

// isQuarantined reports whether another instance has the part in quarantine, and no other
// one saw an answer to it.
func (f *fleetCounts) isQuarantined(part PartID) bool {
	return f.others(keyQuarantined, part) > 0 && f.others(keyAnswers, part) <= 0
}

// isAttributed reports whether another instance lost a call with a quarantined part on
// the life.
func (f *fleetCounts) isAttributed(life Life) bool {
	return f.totals[lifeKey(life)] > 0
}

// countBuckets returns the number of buckets in which this instance has seen something, or
// another one has by the sums. First is the key of the first bucket.
func (f *fleetCounts) countBuckets(first aggregates.Key, seen *buckets) float64 {
	count := 0.0
	for i := range seen {
		if seen[i] || f.othersOf(first.Offset(i)) > 0 {
			count++
		}
	}
	return count
}

// lifeBuckets returns the lives on which other instances lost requests with the part.
func (f *fleetCounts) lifeBuckets(part PartID) toldLives {
	if told, known := f.otherLives[part]; known {
		return told
	}
	told, first := toldLives{untold: f.others(keyLives, part)}, partKey(keyLifeBuckets, part)
	for i := range told.seen {
		if count := f.othersOf(first.Offset(i)); count > 0 {
			told.seen[i] = true
			told.untold -= count
		}
	}
	told.untold = max(0, told.untold)
	if f.otherLives == nil {
		f.otherLives = map[PartID]toldLives{}
	}
	f.otherLives[part] = told
	return told
}

// inCharge reports whether this instance is in charge of the part.
func (f *fleetCounts) inCharge(part PartID) bool {
	return f.instances > 0 && xxhash.Sum64String(string(part))%uint64(f.instances) == uint64(f.position)
}

func partKey(name string, part PartID) aggregates.Key {
	return aggregates.NewExactKey("prompt_part", name, string(part))
}

func lifeKey(life Life) aggregates.Key {
	return aggregates.NewExactKey("attributed_life", string(life))
}

// SignKey is the key of the number of instances to which a life gave a sign within SignWindow.
func SignKey(life Life) aggregates.Key {
	return aggregates.NewExactKey("life_sign", string(life))
}

// lostKey is the key of the number of instances that lost calls on a life and know neither that
// it has ended nor that it goes on. Earlier builds do not have it.
func lostKey(life Life) aggregates.Key {
	return aggregates.NewExactKey("life_lost", string(life))
}

// endKey is the key of the number of instances that have learned of the end of a life.
func endKey(life Life) aggregates.Key {
	return aggregates.NewExactKey("life_end", string(life))
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
