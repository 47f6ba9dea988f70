package releases

// A Charge decides when an instance writes the status of one service's rollout.
// The instance in charge of it writes at once. Another one steps in if it does
// not, and then stays in charge, so that a rollout is late by one wait and not
// by one for each of its stages. Its zero value has not stepped in.
type Charge struct {
	// dueTicks is the number of looks at which the same step was due.
	dueTicks int
	// tookOver says that the instance has written the last status.
	tookOver bool
}

// ticksBeforeTakeover is the number of looks for which an instance that is not in
// charge waits.
const ticksBeforeTakeover = 2

// Due reports whether the instance writes a step that is due at this look.
func (c *Charge) Due(inCharge bool) bool {
	c.dueTicks++
	return inCharge || c.tookOver || c.dueTicks > ticksBeforeTakeover
}

// Idle takes a look at which no step is due.
func (c *Charge) Idle() {
	c.dueTicks = 0
}

// Wrote takes the outcome of a write. One that failed was another's, or the
// store's, and the instance waits for its turn again.
func (c *Charge) Wrote(done bool) {
	c.dueTicks = 0
	c.tookOver = done
}
