package releases

// A Charge decides when an instance writes the status of one service's rollout.
// The instance in charge of the service writes at once. If it does not write,
// another instance takes over after ticksBeforeTakeover ticks and goes on
// writing, so that a failed instance delays a rollout once and not at each
// stage. The zero value has not taken over.
type Charge struct {
	// dueTicks is the number of consecutive ticks at which a step was due.
	dueTicks int
	// tookOver is true if the last write of this instance succeeded.
	tookOver bool
}

// ticksBeforeTakeover is the number of ticks for which an instance that is not
// in charge waits.
const ticksBeforeTakeover = 2

// Due counts a tick at which a step is due and reports whether this instance
// writes it.
func (c *Charge) Due(inCharge bool) bool {
	c.dueTicks++
	return inCharge || c.tookOver || c.dueTicks > ticksBeforeTakeover
}

// Idle records a tick at which no step is due.
func (c *Charge) Idle() {
	c.dueTicks = 0
}

// Wrote records whether a write succeeded. After a failed write, because
// another instance wrote first or the store failed, the instance waits for its
// turn again.
func (c *Charge) Wrote(done bool) {
	c.dueTicks = 0
	c.tookOver = done
}
