package storecache

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"mimosayard/platform"
)

// objectHistory remembers states of objects, the latest maxHistory of them. The zero value is
// empty.
type objectHistory struct {
	states map[uint64]bool
	// order holds the states, the oldest at next once there are maxHistory.
	order []uint64
	next  int
}

// maxHistory bounds the states that are remembered, which take about 100 kB.
const maxHistory = 4096

// add remembers the state of an object.
func (h *objectHistory) add(object platform.Object) {
	state := stateOf(object)
	if h.states[state] {
		return
	}
	if h.states == nil {
		h.states = map[uint64]bool{}
	}
	h.states[state] = true
	if len(h.order) < maxHistory {
		h.order = append(h.order, state)
		return
	}
	delete(h.states, h.order[h.next])
	h.order[h.next] = state
	h.next = (h.next + 1) % maxHistory
}

// has reports whether the state of an object is remembered.
func (h *objectHistory) has(object platform.Object) bool {
	return h.states[stateOf(object)]
}

// stateOf returns a hash of all of an object but the era in which it was read.
func stateOf(object platform.Object) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(object.Name)
	_, _ = digest.Write(binary.BigEndian.AppendUint64([]byte{0}, uint64(object.Revision)))
	_, _ = digest.Write(object.Spec)
	_, _ = digest.Write(object.Status)
	return digest.Sum64()
}
