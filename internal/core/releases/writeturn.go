package releases

// A WriteTurn decides when an instance writes the status of one service's
// rollout. The instance in charge of the service writes at once. If it does not
// write, another instance takes over after ticksBeforeTakeover ticks and goes
// on writing, so that a failed instance delays a rollout once and not at each
// stage. The zero value has not taken over.
type WriteTurn struct {
	// dueTicks is the number of consecutive ticks at which a step was due.
	dueTicks int
	// lastWriteSucceeded is true if the last write of this instance succeeded.
	lastWriteSucceeded bool
}

// ticksBeforeTakeover is the number of ticks for which an instance that is not
// in charge waits.
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
