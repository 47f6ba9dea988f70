package budget

import (
	"math"
	"runtime/debug"

	"golang.org/x/sys/unix"
)

const (
	// budgetShare is the share of the Go heap's limit that bodies, heads and answers may
	// hold. As much again is garbage between two collections, and the rest is for
	// connections and the instance itself.
	budgetShare = 0.35
	// platformShare is the share of the Go heap's limit that the answers of the platform and
	// of raters may hold while they are read, beside PlatformFloor each.
	platformShare = 0.1
	// connectionsShare is the share of the Go heap's limit for connections at rest, and
	// connectionCost what each takes: two buffers of 4 kB, a stack, and the floors of
	// a head and a body.
	connectionsShare = 0.25
	connectionCost   = 32 << 10
	// descriptorReserve and descriptorReserveShare are the descriptors for the store,
	// the peers, relayed connections and the listeners.
	descriptorReserve      = 64
	descriptorReserveShare = 0.25
	// descriptorsPerConnection counts a caller's connection and the upstream's.
	descriptorsPerConnection = 2
	// minConnections keeps an instance usable whatever the limits are.
	minConnections = 16
	// BodyFloor is what the body of each request may hold outside of the budget, so that
	// small requests are served while large ones are refused.
	BodyFloor = 8 << 10
	// OperatorsConnections bounds the connections of operators, of whom few connect at a
	// time.
	OperatorsConnections = 64
	// maxSendBuffer bounds the kernel's buffer of answers that a caller has not taken, which
	// otherwise grows to 4 MB for a connection. It passes 12 MB/s at a round trip
	// of 10 ms.
	maxSendBuffer = 128 << 10
	// PlatformFloor is what each answer of the platform may hold outside of the budget, so that
	// ordinary ones are read while one without end takes all of it.
	PlatformFloor = 256 << 10
	// AnswerFloor is what each answer may hold outside of the budget, so that small answers
	// are delivered while large ones are dropped.
	AnswerFloor = 8 << 10
)

// FromSettings returns the budget, the number of connections and the bound on the kernel's
// buffer of unread answers for what the settings say, where zero stands for a default.
func FromSettings(memoryMB int64, maxConnections int) (budget *Budget, connections, sendBuffer int) {
	bytes := memoryMB << 20
	if bytes == 0 {
		bytes = DefaultBytes()
	}
	if maxConnections == 0 {
		maxConnections = DefaultConnections()
	}
	budget = New(bytes)
	if budget != nil {
		sendBuffer = maxSendBuffer
	}
	return budget, maxConnections, sendBuffer
}

// PlatformBytes returns the budget for the answers of the platform that fits the memory limit
// of the Go runtime, zero if there is no limit.
func PlatformBytes() int64 {
	return int64(platformShare * float64(heapLimit()))
}

// DefaultBytes returns the budget in bytes that fits the memory limit of the Go runtime,
// zero if there is none.
func DefaultBytes() int64 {
	limit := heapLimit()
	if limit == 0 {
		return 0
	}
	return int64(budgetShare * float64(limit))
}

// DefaultConnections returns the number of connections that fits the process's limit on
// open descriptors and the memory limit of the Go runtime, zero for no bound.
func DefaultConnections() int {
	connections := 0
	var descriptors unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &descriptors) == nil && descriptors.Cur < math.MaxInt32 {
		left := (1-descriptorReserveShare)*float64(descriptors.Cur) - descriptorReserve
		connections = max(minConnections, int(left/descriptorsPerConnection))
	}
	if limit := heapLimit(); limit > 0 {
		byMemory := max(minConnections, int(connectionsShare*float64(limit)/connectionCost))
		if connections == 0 || byMemory < connections {
			connections = byMemory
		}
	}
	return connections
}

// heapLimit returns the memory limit of the Go runtime, zero if there is none.
func heapLimit() int64 {
	limit := debug.SetMemoryLimit(-1)
	if limit == math.MaxInt64 {
		return 0
	}
	return limit
}
