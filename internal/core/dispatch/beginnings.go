package dispatch

import (
	"sync"
	"sync/atomic"
	"time"

	"mimosayard/internal/core/placement"
	"mimosayard/internal/core/quarantine"
)

// beginnings are the calls whose answers have got past their beginning since the last
// ApplyTotals. They clear the parts of their prompts then, not only at their ends, which may
// be many seconds away.
type beginnings struct {
	// wanted is true while the fleet has evidence against parts of prompts.
	wanted atomic.Bool

	mutex sync.Mutex
	calls []beginning
}

type beginning struct {
	upstream *placement.Upstream
	sentAt   time.Time
	parts    []quarantine.PartID
}

// maxBeginnings bounds the calls. Those beyond it clear their parts at their ends.
const maxBeginnings = 1024

// recordBeginning records once that the answer of a call has got past its beginning, if that is
// wanted.
func (c *Call) recordBeginning() {
	if c.begun || !c.beginnings.wanted.Load() {
		return
	}
	c.begun = true
	parts := c.task.suspectParts()
	c.beginnings.mutex.Lock()
	defer c.beginnings.mutex.Unlock()
	if len(parts) > 0 && len(c.beginnings.calls) < maxBeginnings {
		c.beginnings.calls = append(c.beginnings.calls, beginning{c.upstream, c.sentAt, parts})
	}
}

// applyBeginnings passes the calls to the quarantine.
func (d *Dispatcher) applyBeginnings(now time.Time) {
	d.beginnings.wanted.Store(d.quarantine.HasEvidence())
	d.beginnings.mutex.Lock()
	calls := d.beginnings.calls
	d.beginnings.calls = nil
	d.beginnings.mutex.Unlock()
	for _, b := range calls {
		d.quarantine.RecordBeginning(now, quarantine.Life(lifeName(b.upstream)), b.sentAt, b.parts)
	}
}
