package capacity

import (
	"fmt"
	"strconv"
	"strings"
)

// workload is the load of the whole fleet to design for. It holds assumptions
// where the requirements give no number.
type workload struct {
	nodes                              float64
	requestsPerSecond, tokensPerSecond float64
	// firstTokenSeconds is the time to the first token, and
	// tokenIntervalSeconds the time between two tokens.
	firstTokenSeconds    float64
	tokenIntervalSeconds float64
	// editsPerDay is the number of changes of the configuration in a day.
	editsPerDay float64
	dataCenters float64
	// keyedShare is the assumed share of requests that carry an idempotency
	// key, because they must not run twice.
	keyedShare float64
	// outageSeconds is the assumed length of a long outage, in seconds.
	outageSeconds float64
}

// budget holds the maximum that the control duties may use on a node.
type budget struct {
	cores, bytesPerSecond, memoryBytes float64
}

// row holds the cells of a row of a table.
type row []string

// designWorkload is the busy hour of the fleet.
var designWorkload = workload{
	nodes: 350, requestsPerSecond: 9600, tokensPerSecond: 2e6, firstTokenSeconds: 0.46, tokenIntervalSeconds: 0.060,
	editsPerDay: 290, dataCenters: 7, keyedShare: 0.02, outageSeconds: 3600,
}

// nodeBudget is the budget of a node.
var nodeBudget = budget{cores: 0.014, bytesPerSecond: 8000, memoryBytes: 64e6}

const (
	// settleIntervalSeconds is the time between two settlements of a node's
	// bills, and listsPerSecond the bound on lists of instances by the whole
	// fleet. Both are the program's defaults.
	settleIntervalSeconds = 5.0
	listsPerSecond        = 100.0
	// watchIntervalSeconds is the time after which a waiting watch counts as
	// another call.
	watchIntervalSeconds = 8.0
	// watchersPerDataCenter is the number of instances in a data centre that
	// keep a watch.
	watchersPerDataCenter = 2.0
	// storeWritesPerSecond and storeReadsPerSecond are the rates that the
	// platform's store allows. "Several hundred" writes is taken as 300.
	storeWritesPerSecond = 300.0
	storeReadsPerSecond  = 2000.0

	// minFittedNodes is the number of nodes of the smallest fleet that the fits
	// use.
	minFittedNodes = 32

	megabyte = 1e6
	kilobyte = 1e3
	percent  = 100
)

// RenderTables returns the tables of docs/CAPACITY.md for the results, as
// Markdown.
func RenderTables(r Results) string {
	var text strings.Builder
	fmt.Fprintf(&text, "Measured on %s with %s on %d cores.\n", r.MeasuredOn, r.Go, r.Cores)
	writeSection(&text, "Slopes", r.slopeRows())
	writeSection(&text, "Fleets in one process", r.fleetRows())
	writeSection(&text, "Control of a node at the design size", r.controlRows())
	writeSection(&text, "Calls to the platform's store at the design size, worked out from the program's constants", storeCallRows())
	writeSection(&text, "Data path of a node in the busy hour, from measured slopes", r.dataPathRows())
	return text.String()
}

// writeSection writes a heading and a table whose first row is its header.
func writeSection(text *strings.Builder, title string, rows []row) {
	fmt.Fprintf(text, "\n### %s\n\n", title)
	for n, cells := range rows {
		fmt.Fprintf(text, "| %s |\n", strings.Join(cells, " | "))
		if n == 0 {
			fmt.Fprintf(text, "|%s\n", strings.Repeat(" --- |", len(cells)))
		}
	}
}

// fleetFit fits a line to a value of the fleets with the design number of
// teams, over the number of nodes. It leaves out fleets of fewer than
// minFittedNodes nodes, in which no node has its full number of neighbours.
func (r Results) fleetFit(value func(fleetMeasurement) float64) Fit {
	var points []Point
	for _, f := range r.Fleets {
		if f.Teams == designSize.teams && f.Nodes >= minFittedNodes {
			points = append(points, Point{float64(f.Nodes), value(f)})
		}
	}
	return fitLine(points)
}

// findAxis returns the axis with a name and size, or an empty one.
func (r Results) findAxis(name, size string) Axis {
	for _, a := range r.Axes {
		if a.Name == name && a.SizeName == size {
			return a
		}
	}
	return Axis{}
}

// lastValue returns the value measured at the largest size, or 0 without
// points.
func (a Axis) lastValue() float64 {
	if len(a.Points) == 0 {
		return 0
	}
	return a.Points[len(a.Points)-1].Value
}

// slopeRows returns the table of the fitted axes.
func (r Results) slopeRows() []row {
	rows := []row{{"What", "Grows with", "Sizes", "Base", "Slope", "Unit", "Residual"}}
	for _, a := range append(append([]Axis(nil), r.Axes...), r.AddedCPU) {
		if len(a.Points) == 0 {
			continue
		}
		first, last := a.Points[0], a.Points[len(a.Points)-1]
		rows = append(rows, row{
			a.Name, a.SizeName, fmt.Sprintf("%d: %.0f to %.0f", len(a.Points), first.Size, last.Size),
			fmt.Sprintf("%.0f", a.Fit.Base), fmt.Sprintf("%.4g", a.Fit.Slope), a.Unit, fmt.Sprintf("%.1f%%", a.Fit.Residual*percent),
		})
	}
	return rows
}

// fleetRows returns the table of the fleets, with the fitted values at the
// design size as the last row.
func (r Results) fleetRows() []row {
	rows := []row{{"Nodes", "Teams", "Mean bytes/s", "Most bytes/s", "Part of a core", "Memory MB", "Edit everywhere"}}
	add := func(nodes, teams string, f fleetMeasurement) {
		rows = append(rows, row{
			nodes, teams, fmt.Sprintf("%.0f", f.MeanBytesPerSecond), fmt.Sprintf("%.0f", f.MaxBytesPerSecond), fmt.Sprintf("%.2f%%", f.CPUShare*percent),
			fmt.Sprintf("%.2f", f.HeapBytes/megabyte), fmt.Sprintf("%.0f ms", f.SpreadMillis),
		})
	}
	for _, f := range r.Fleets {
		add(strconv.Itoa(f.Nodes), strconv.Itoa(f.Teams), f)
	}
	add("350, fitted", "20", r.fittedFleet())
	return rows
}

// fittedFleet returns the values at the design size by the fitted lines. The
// processor share falls with the number of nodes, so it is the largest measured
// share instead.
func (r Results) fittedFleet() fleetMeasurement {
	at := func(value func(fleetMeasurement) float64) float64 { return r.fleetFit(value).At(designWorkload.nodes) }
	fitted := fleetMeasurement{
		MeanBytesPerSecond: at(func(f fleetMeasurement) float64 { return f.MeanBytesPerSecond }),
		MaxBytesPerSecond:  at(func(f fleetMeasurement) float64 { return f.MaxBytesPerSecond }),
		HeapBytes:          at(func(f fleetMeasurement) float64 { return f.HeapBytes }),
		SpreadMillis:       at(func(f fleetMeasurement) float64 { return f.SpreadMillis }),
	}
	for _, f := range r.Fleets {
		fitted.CPUShare = max(fitted.CPUShare, f.CPUShare)
	}
	return fitted
}

// controlRows returns the table of what each control duty uses on a node at the
// design size.
func (r Results) controlRows() []row {
	fleet := r.fittedFleet()
	requestsPerSecond := designWorkload.requestsPerSecond / designWorkload.nodes
	waitingBills := designWorkload.outageSeconds * requestsPerSecond
	billBytes := 2 * r.findAxis("open bills", "bills").Fit.Slope * waitingBills
	ratingBytes := r.findAxis("answers awaiting ratings", "answers").lastValue()
	hintBytes := float64(designSize.versions) * r.findAxis("prefix hints", "prefixes").Fit.At(8192)
	cellBytes := float64(designSize.versions*designSize.classes*2*8) * r.findAxis("cascade evidence", "cells").Fit.Slope
	configBytes := 3 * r.findAxis("accepted configuration", "routes").Fit.At(float64(designSize.teams*designSize.classes))
	requestCores := r.findAxis("admit, choose, finish a request", "teams").Fit.At(float64(designSize.teams)) * requestsPerSecond / 1e9
	sessionCores := r.findAxis("session token: seal and open", "stages").Fit.At(2) * requestsPerSecond / 1e9
	settleCores := r.findAxis("settle bills into an account", "bills").Fit.Slope * requestsPerSecond / 1e9
	applyCores := r.findAxis("apply a configuration", "routes").Fit.At(80) * designWorkload.editsPerDay / 86400 / 1e9
	tickCores := r.findAxis("tick: totals into shares and tests", "teams").Fit.At(20) * 2 / 1e9
	contributionCores := r.findAxis("contribution to the sums", "teams").Fit.At(20) * 2 / 1e9
	// A message holds one bill, unless more bills were made while the message
	// before was in flight.
	copyBytesPerSecond := requestsPerSecond * r.findAxis("copies of bills in one message", "bills").Fit.At(1)
	histogramBytes := r.findAxis("metrics", "routes").Fit.At(float64(designSize.teams * designSize.classes))
	metricsCores := requestsPerSecond * r.findAxis("metrics of a request", "tokens").Fit.At(designWorkload.tokensPerSecond/designWorkload.requestsPerSecond) / 1e9
	memoryBytes := fleet.HeapBytes + billBytes + ratingBytes + hintBytes + cellBytes + configBytes + histogramBytes
	cores := fleet.CPUShare + sessionCores + settleCores + applyCores + metricsCores
	formatCoreShare := func(cores float64) string { return fmt.Sprintf("%.4f%%", cores*percent) }
	formatMegabytes := func(bytes float64) string { return fmt.Sprintf("%.2f MB", bytes/megabyte) }
	return []row{
		{"Duty", "State", "Messages", "Part of a core", "Memory", "Carried by", "Figure"},
		{"Serving callers: decisions", "requests in progress", "none", formatCoreShare(requestCores), "in the fleet's figure", "one lock, no waiting under it", "measured per request"},
		{"Sessions", "none; the token has it", "none", formatCoreShare(sessionCores), "0", "signed tokens, keys in the configuration", "measured; every request with a session assumed"},
		{"Cascade state", "evidence for each pool, class and bucket", "in the sums, every 10 s", "in the tick", formatMegabytes(cellBytes), "sums over the tree", "measured"},
		{"Allowances", "a gate for each route", "in the sums, every 0.5 s, 6 values a message", formatCoreShare(tickCores), "in the fleet's figure", "demand-proportional shares from sums", "measured"},
		{"Upstream load", "a record for each server", "none of its own: reports ride on answers", "in the decisions", "in the fleet's figure", "own calls in progress, lagged reports, eight random choices", "measured"},
		{"Prefix locality", "two generations of 4,096 prefixes for each pool", "none of its own", "in the decisions", formatMegabytes(hintBytes), "rendezvous hashing and hints", "measured per prefix, full tables assumed"},
		{"Peers", "a member record for each node", fmt.Sprintf("mean %.1f, most %.1f KB/s", fleet.MeanBytesPerSecond/kilobyte, fleet.MaxBytesPerSecond/kilobyte), formatCoreShare(max(0, fleet.CPUShare-requestCores)), formatMegabytes(fleet.HeapBytes), "tree of members, fan-out 2, 0.5 s ticks", "bytes, memory fitted from 32 to 256 nodes; processor the largest measured"},
		{"Configuration", "one encoded copy and its index", fmt.Sprintf("%.0f bytes/s", r.findAxis("accepted configuration", "servers").Fit.At(600)*designWorkload.editsPerDay/86400*2), formatCoreShare(applyCores), formatMegabytes(configBytes), "generations by watch and by peers", "measured per edit"},
		{"Ratings and version evidence", "the last 32,768 answers", "in the sums, every 2 s", formatCoreShare(contributionCores), formatMegabytes(ratingBytes), "exact sums, sequential test at every node", "measured"},
		{"Bills", fmt.Sprintf("%.0f bills in an hour's outage, as many copies", waitingBills), fmt.Sprintf("%.1f KB/s to the holder, as much from owners", copyBytesPerSecond/kilobyte), formatCoreShare(settleCores), formatMegabytes(billBytes), "numbered bills, one account for each run", "measured per bill, outage of an hour assumed"},
		{"Leases and orders", "a mark for each pool", "none between nodes; the store has the leases", "not measured", "under 0.01 MB", "the pool's owner by its hash, once for each change of a version", "assumed"},
		{"Metrics", "histograms for each route", "none between nodes", formatCoreShare(metricsCores), formatMegabytes(histogramBytes), "bounded by the routes table", "measured"},
		{"Logs", "none", "an entry for each refusal and change", "not measured", "0", "numbered events", "assumed"},
		{"**All of control**", "", fmt.Sprintf("most %.1f, with copies of bills %.1f, of %.0f KB/s", fleet.MaxBytesPerSecond/kilobyte, (fleet.MaxBytesPerSecond+2*copyBytesPerSecond)/kilobyte, nodeBudget.bytesPerSecond/kilobyte), fmt.Sprintf("%.2f%% of %.1f%%", cores*percent, nodeBudget.cores*percent), fmt.Sprintf("%.1f of %.0f MB", memoryBytes/megabyte, nodeBudget.memoryBytes/megabyte), budgetVerdict(fleet.MaxBytesPerSecond+2*copyBytesPerSecond, cores, memoryBytes), ""},
	}
}

// budgetVerdict names the resources of which a node uses more than its budget.
func budgetVerdict(bytesPerSecond, cores, memory float64) string {
	var excesses []string
	check := func(resource string, used, limit float64) {
		if used > limit {
			excesses = append(excesses, fmt.Sprintf("%s over by %.0f%%", resource, (used/limit-1)*percent))
		}
	}
	check("bytes", bytesPerSecond, nodeBudget.bytesPerSecond)
	check("processor", cores, nodeBudget.cores)
	check("memory", memory, nodeBudget.memoryBytes)
	if len(excesses) == 0 {
		return "within the budget"
	}
	return strings.Join(excesses, ", ")
}

// storeCallRows returns the table of the store's calls, computed from the
// program's constants.
func storeCallRows() []row {
	settlementsPerSecond := designWorkload.nodes / settleIntervalSeconds
	keyedRequestsPerSecond := designWorkload.requestsPerSecond * designWorkload.keyedShare
	watchers := watchersPerDataCenter * designWorkload.dataCenters
	formatRate := func(value float64) string { return fmt.Sprintf("%.1f", value) }
	writesPerSecond := settlementsPerSecond + 2*keyedRequestsPerSecond
	readsPerSecond := settlementsPerSecond + 2*keyedRequestsPerSecond + listsPerSecond + watchers/watchIntervalSeconds
	return []row{
		{"When", "Call", "Reads/s", "Writes/s", "How"},
		{"always", "waiting watches", formatRate(watchers / watchIntervalSeconds), "0", fmt.Sprintf("%.0f instances keep one, each counts as a call every %.0f s", watchers, watchIntervalSeconds)},
		{"always", "list of instances", formatRate(listsPerSecond), "0", "bounded for the whole fleet"},
		{"always", "bills", formatRate(settlementsPerSecond), formatRate(settlementsPerSecond), fmt.Sprintf("one conditional write for each node every %.0f s, whatever its requests", settleIntervalSeconds)},
		{"always", "idempotency keys", formatRate(2 * keyedRequestsPerSecond), formatRate(2 * keyedRequestsPerSecond), fmt.Sprintf("two writes for each keyed request; %.0f%% of requests assumed", designWorkload.keyedShare*percent)},
		{"always", "**sum**", formatRate(readsPerSecond), formatRate(writesPerSecond), fmt.Sprintf("of %.0f reads and %.0f writes", storeReadsPerSecond, storeWritesPerSecond)},
		{"an edit", "acceptance", fmt.Sprintf("%.0f calls", 5*watchers), fmt.Sprintf("%.0f calls", 2*watchers), "every watcher tries, one wins; once for each edit"},
		{"a change of a version", "lease and orders", "1 call", "2 calls", "and an order for each of the pool's engines, at 75 servers within a lease of 10 s"},
		{"start of the whole fleet", "watch, key, list", fmt.Sprintf("%.0f calls", 3*designWorkload.nodes), "1 call", "within the seconds that the nodes take to start"},
		{"end of an outage", "bills", formatRate(settlementsPerSecond), formatRate(settlementsPerSecond), "the same as always: all open bills of a node go into one write"},
		{"loss of a rack (8 nodes)", "bills taken over", formatRate(8 / settleIntervalSeconds), formatRate(8 / settleIntervalSeconds), "one write for each lost run, within two settlements"},
		{"loss of a data centre (50 nodes)", "bills taken over", formatRate(50 / settleIntervalSeconds), formatRate(50 / settleIntervalSeconds), "the same"},
		{"loss of a region (200 nodes)", "bills taken over", formatRate(200 / settleIntervalSeconds), formatRate(200 / settleIntervalSeconds), "the same"},
	}
}

// dataPathRows returns the table of what the requests of a node use in the busy
// hour, with all nodes and after the loss of some.
func (r Results) dataPathRows() []row {
	streamSeconds := designWorkload.firstTokenSeconds + designWorkload.tokensPerSecond/designWorkload.requestsPerSecond*designWorkload.tokenIntervalSeconds
	rows := []row{{"Nodes left", "Requests/s", "Tokens/s", "Open streams", "Connections", "Cores", "Memory of streams"}}
	for _, remaining := range []struct {
		name  string
		nodes float64
	}{{"350", 350}, {"300, a data centre lost", 300}, {"150, a region of four lost", 150}} {
		requestsPerSecond, tokensPerSecond := designWorkload.requestsPerSecond/remaining.nodes, designWorkload.tokensPerSecond/remaining.nodes
		streams := requestsPerSecond * streamSeconds
		cores := (requestsPerSecond*r.AddedCPU.Fit.Base + tokensPerSecond*r.AddedCPU.Fit.Slope) / 1e9
		rows = append(rows, row{
			remaining.name, fmt.Sprintf("%.1f", requestsPerSecond), fmt.Sprintf("%.0f", tokensPerSecond), fmt.Sprintf("%.0f", streams),
			fmt.Sprintf("%.0f", 2*streams), fmt.Sprintf("%.2f", cores), fmt.Sprintf("%.1f MB", streams*r.StreamBytes/megabyte),
		})
	}
	return rows
}
