package routing

import "mimosayard/internal/core/tables"

// prefixHints maps the hash of a prefix to the upstream that has it in its
// cache. It holds a bounded number of prefixes in two generations. When the
// current generation is full, the previous one is dropped.
type prefixHints struct {
	current  map[uint64]tables.UpstreamID
	previous map[uint64]tables.UpstreamID
}

// maxHintsPerGeneration is the number of prefixes in a full generation.
const maxHintsPerGeneration = 4096

func (h *prefixHints) drop(prefix uint64) {
	delete(h.current, prefix)
	delete(h.previous, prefix)
}

// get returns the upstream of a prefix, or an empty name.
func (h *prefixHints) get(prefix uint64) tables.UpstreamID {
	if name, ok := h.current[prefix]; ok {
		return name
	}
	return h.previous[prefix]
}

func (h *prefixHints) put(prefix uint64, name tables.UpstreamID) {
	if h.current == nil || len(h.current) >= maxHintsPerGeneration {
		h.previous = h.current
		h.current = make(map[uint64]tables.UpstreamID)
	}
	h.current[prefix] = name
}
