package quarantine

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// An Entry is a part in quarantine, as operators see it.
type Entry struct {
	Part PartID `json:"part"`
	// Since is when the instance began to refuse it, Until when that ends if no request
	// has it any more.
	Since time.Time `json:"since"`
	Until time.Time `json:"until"`
	// NextTrial is when the instance in charge of the part sends the next request with it.
	NextTrial time.Time `json:"next_trial"`
}

// List returns the parts that this instance refuses, those refused longest first.
func (t *Table) List() []Entry {
	entries := []Entry{}
	for part, s := range t.quarantined {
		entries = append(entries, Entry{Part: part, Since: s.since, Until: s.since.Add(quarantineTTL), NextTrial: s.nextTrial})
	}
	slices.SortFunc(entries, func(a, b Entry) int {
		return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(a.Part, b.Part))
	})
	return entries
}

// Release takes a part out of quarantine over the fleet, as an answer to it does. It
// returns false if no instance refuses the part.
func (t *Table) Release(now time.Time, part PartID) bool {
	if t.quarantined[part] == nil && !t.fleet.isQuarantined(part) {
		return false
	}
	if t.quarantined[part] == nil {
		t.quarantine(now, part, false)
	}
	t.makeRoom(now)
	part = PartID(strings.Clone(string(part)))
	t.answered[part] = now
	t.clear(part)
	t.shareAnswer(part)
	t.release(part, true, ReleasedByOperator)
	return true
}
