package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"mimosayard/internal/core/aggregates"
	"mimosayard/internal/core/billing"
	"mimosayard/internal/core/membership"
	"mimosayard/internal/core/rollouts"
	"mimosayard/internal/core/router"
	"mimosayard/internal/core/tables"
	"mimosayard/internal/fleet/peers"
)

// fleetNode is the router and the peer protocol of one instance, without
// callers.
type fleetNode struct {
	node   *peers.Node
	router *router.Router
	// totalsReceived is the number of fleet totals received.
	totalsReceived atomic.Int64
	generation     atomic.Uint64
	// configTakenAt is the Unix time, in nanoseconds, of the last configuration
	// from a peer.
	configTakenAt atomic.Int64
}

// fleetMeasurement holds what the nodes of a fleet used.
type fleetMeasurement struct {
	Nodes int `json:"nodes"`
	Teams int `json:"teams"`
	// MeanBytesPerSecond and MaxBytesPerSecond are the mean and the maximum,
	// over the nodes, of the bytes sent and received, IP and TCP headers
	// included.
	MeanBytesPerSecond float64 `json:"mean_bytes_per_s"`
	MaxBytesPerSecond  float64 `json:"most_bytes_per_s"`
	// CPUShare is the share of a core that a node uses on average.
	CPUShare float64 `json:"cpu_share"`
	// HeapBytes is the heap and stack memory of a node on average.
	HeapBytes float64 `json:"heap_bytes"`
	// SpreadMillis is the time in which a new configuration reached every node.
	SpreadMillis float64 `json:"spread_ms"`
}

const (
	// nodeRequestsPerSecond is a node's part of the requests at the design
	// size: 9600 per second over 350 nodes.
	nodeRequestsPerSecond = 9600.0 / 350
	// ratedShare is the share of requests that get a rating.
	ratedShare = 0.05
	// warmUpTime is the time from the last node's join to the measurement.
	warmUpTime  = 4 * time.Second
	measureTime = 6 * time.Second
	// spreadTimeout is the time within which members and configurations have to
	// reach every node.
	spreadTimeout = 30 * time.Second
	pollInterval  = 5 * time.Millisecond
	fleetPort     = 9100
	// segmentHeaderBytes is the size of the IP and TCP headers of a segment,
	// with the time stamp option.
	segmentHeaderBytes = 52
)

// measureFleet runs nodes in this process, each with its part of the requests
// of the busy hour, and measures what they use.
func measureFleet(count, teams int) (fleetMeasurement, error) {
	measurement := fleetMeasurement{Nodes: count, Teams: teams}
	size := designSize
	size.teams = teams
	usageBefore := readUsage()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	nodes := make([]*fleetNode, count)
	for n := range nodes {
		nodes[n] = newFleetNode(n, size)
		if err := nodes[n].start(ctx, group); err != nil {
			return measurement, err
		}
	}
	generateLoad(ctx, group, nodes, size)
	if err := waitForMembers(ctx, nodes); err != nil {
		return measurement, err
	}
	time.Sleep(warmUpTime)
	measurement.HeapBytes = float64(readUsage().heap-usageBefore.heap) / float64(count)
	start, startCPU, startBytes := time.Now(), cpuTime(), trafficBytes(nodes)
	time.Sleep(measureTime)
	elapsed := time.Since(start).Seconds()
	measurement.CPUShare = (cpuTime() - startCPU).Seconds() / elapsed / float64(count)
	for n, total := range trafficBytes(nodes) {
		bytesPerSecond := float64(total-startBytes[n]) / elapsed
		measurement.MeanBytesPerSecond += bytesPerSecond / float64(count)
		measurement.MaxBytesPerSecond = max(measurement.MaxBytesPerSecond, bytesPerSecond)
	}
	spread, err := measureSpread(ctx, nodes, size)
	measurement.SpreadMillis = float64(spread.Milliseconds())
	cancel()
	_ = group.Wait()
	return measurement, err
}

// newFleetNode returns a node that joins the fleet through the first three
// nodes.
func newFleetNode(n int, size configSize) *fleetNode {
	f := &fleetNode{}
	home := tables.DataCenterID(fmt.Sprintf("dc-%d", n%dataCenters))
	f.router = router.New(home, router.Policy{}, rand.New(rand.NewPCG(uint64(n), 2)))
	f.router.Apply(time.Now(), newConfig(size))
	f.generation.Store(1)
	f.node = &peers.Node{
		Self: membership.Member{
			ID:         tables.InstanceID(fmt.Sprintf("node-%d", n)),
			Epoch:      1,
			Address:    fleetAddress(n),
			DataCenter: home,
		},
		Key:         func() []byte { return []byte("capacity") },
		Seeds:       func() []string { return []string{fleetAddress(0), fleetAddress(1), fleetAddress(2)} },
		LocalValues: f.router.Contribution,
		OnTotals: func(now time.Time, totals, reported aggregates.Values) {
			f.totalsReceived.Add(1)
			f.router.Tick(now, totals, reported)
		},
		Generation:    f.generation.Load,
		EncodedConfig: func() []byte { return fmt.Appendf(nil, "%d", f.generation.Load()) },
		ApplyConfig: func(config []byte) {
			var generation uint64
			if _, err := fmt.Sscan(string(config), &generation); err == nil && generation > f.generation.Load() {
				f.generation.Store(generation)
				f.configTakenAt.Store(time.Now().UnixNano())
				f.node.CallParentNow()
			}
		},
		Progress:        func() []rollouts.Progress { return nil },
		MergeProgress:   func([]rollouts.Progress) {},
		StoreBillCopies: func(billing.Epoch, []billing.Bill, billing.Account) {},
		OnMemberDown:    func(membership.Member) {},
	}
	return f
}

// fleetAddress returns the loopback address of a node.
func fleetAddress(n int) string {
	return fmt.Sprintf("127.15.%d.%d:%d", n/250, 1+n%250, fleetPort)
}

// start listens at the address of the node and serves its peers until the
// context ends.
func (f *fleetNode) start(ctx context.Context, group *errgroup.Group) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", f.node.Self.Address)
	if err != nil {
		return err
	}
	group.Go(func() error { return f.node.Serve(ctx, listener) })
	return nil
}

// generateLoad runs requests and ratings through the router of each node at the
// rate of the busy hour until the context ends. The time between two requests
// is exponentially distributed.
func generateLoad(ctx context.Context, group *errgroup.Group, nodes []*fleetNode, size configSize) {
	for n, f := range nodes {
		group.Go(func() error {
			random := rand.New(rand.NewPCG(uint64(n), 3))
			for request := 0; ; request++ {
				interval := time.Duration(random.ExpFloat64() / nodeRequestsPerSecond * float64(time.Second))
				select {
				case <-ctx.Done():
					return nil
				case <-time.After(interval):
				}
				id := fmt.Sprintf("node-%d-%d", n, request)
				serveRequest(f.router, random, id, size.teams, size.classes)
				if random.Float64() < ratedShare {
					f.router.RecordRating(router.Rating{RequestID: id, Score: 0.9})
				}
			}
		})
	}
}

// waitForMembers waits until every node lists all nodes as members. It returns
// an error after spreadTimeout.
func waitForMembers(ctx context.Context, nodes []*fleetNode) error {
	deadline := time.Now().Add(spreadTimeout)
	for _, f := range nodes {
		for len(f.node.Members()) < len(nodes) {
			if time.Now().After(deadline) || ctx.Err() != nil {
				return fmt.Errorf("node %s lists %d of %d members after %s", f.node.Self.ID, len(f.node.Members()), len(nodes), spreadTimeout)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// measureSpread gives one node a new configuration and returns the time until
// all nodes have it. It returns an error after spreadTimeout.
func measureSpread(ctx context.Context, nodes []*fleetNode, _ configSize) (time.Duration, error) {
	start := time.Now()
	origin := nodes[len(nodes)-1]
	origin.generation.Store(2)
	origin.node.CallParentNow()
	deadline := start.Add(spreadTimeout)
	for _, f := range nodes {
		for f.generation.Load() < 2 {
			if time.Now().After(deadline) || ctx.Err() != nil {
				return 0, fmt.Errorf("configuration did not reach every node within %s", spreadTimeout)
			}
			time.Sleep(pollInterval)
		}
	}
	return time.Since(start), nil
}

// holdMessageBytes returns the bytes on the wire of a message with copies of
// bills to their holder. The traffic of idle peers is subtracted.
func holdMessageBytes(count int) float64 {
	const messages = 20
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	nodes := make([]*fleetNode, 2)
	for n := range nodes {
		nodes[n] = newFleetNode(n, configSize{1, 1, 1, 1})
		if err := nodes[n].start(ctx, group); err != nil {
			cancel()
			return 0
		}
	}
	messageBytes := 0.0
	if waitForMembers(ctx, nodes) == nil {
		idleBytes := trafficBytes(nodes)[0]
		idleStart := time.Now()
		time.Sleep(time.Second)
		idleBytesPerSecond := float64(trafficBytes(nodes)[0]-idleBytes) / time.Since(idleStart).Seconds()
		start, startBytes := time.Now(), trafficBytes(nodes)[0]
		for range messages {
			_ = nodes[0].node.SendBillCopies(ctx, "node-0@1796350771075", newBills(count), billing.Account{})
		}
		messageBytes = (float64(trafficBytes(nodes)[0]-startBytes) - idleBytesPerSecond*time.Since(start).Seconds()) / messages
	}
	cancel()
	_ = group.Wait()
	return messageBytes
}

// trafficBytes returns the bytes that each node has sent and received, headers
// included.
func trafficBytes(nodes []*fleetNode) []int64 {
	counts := make([]int64, len(nodes))
	for n, f := range nodes {
		stats := f.node.Stats()
		counts[n] = stats.SentBytes + stats.ReceivedBytes + segmentHeaderBytes*stats.Segments
	}
	return counts
}
