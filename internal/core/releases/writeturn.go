package releases

// A WriteTurn decides when an instance writes the status of one service's
// rollout. The instance in charge of the service writes at once. If it does not
// write, another instance takes over after ticksBeforeTakeover ticks and keeps
// writing, so that a failed instance delays a rollout once and not at each
// stage. A tick is one check for a due step. The zero value has not written yet.
type WriteTurn struct {
	// dueTicks is the number of consecutive ticks at which a step was due.
	dueTicks int
	// lastWriteSucceeded is true if this instance has written and its last
	// write succeeded.
	lastWriteSucceeded bool
}

// ticksBeforeTakeover is the number of ticks for which an instance that is not
// in charge leaves a due step to the one that is.
const ticksBeforeTakeover = 2

// ShouldWrite counts a tick at which a step is due and reports whether this
// instance writes it.
func (w *WriteTurn) ShouldWrite(inCharge bool) bool {
	w.dueTicks++
	return inCharge || w.lastWriteSucceeded || w.dueTicks > ticksBeforeTakeover
}

// ResetTicks records a tick at which no step is due.
func (w *WriteTurn) ResetTicks() {
	w.dueTicks = 0
}

// RecordWrite records whether a write succeeded. After a failed write, because
// another instance wrote first or the store failed, the instance waits for its
// turn again.
func (w *WriteTurn) RecordWrite(done bool) {
	w.dueTicks = 0
	w.lastWriteSucceeded = done
}
