package pacing

import "mimosayard/internal/core/tables"

// A Change is a change of the limit that an upstream names.
type Change struct {
	Upstream tables.UpstreamID
	// Named is false if the upstream no longer names a limit.
	Named bool
	// Limit is the number of calls a second from the whole fleet, Share this instance's
	// part.
	Limit, Share Rate
}

// Changes holds the latest change of each limit until it is taken. The zero value is empty.
// It is not safe for concurrent use.
type Changes struct {
	latest map[tables.UpstreamID]Change
}

// Record records that the limit of an upstream has changed.
func (c *Changes) Record(upstream tables.UpstreamID, l *Limit) {
	if c.latest == nil {
		c.latest = map[tables.UpstreamID]Change{}
	}
	c.latest[upstream] = Change{upstream, l.named, l.rate, l.Share()}
}

// Take returns the changes since the last call.
func (c *Changes) Take() []Change {
	changes := make([]Change, 0, len(c.latest))
	for _, change := range c.latest {
		changes = append(changes, change)
	}
	clear(c.latest)
	return changes
}
