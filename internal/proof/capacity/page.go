package capacity

import (
	"fmt"
	"strconv"
	"strings"
)

// load is the size to design for, and what is assumed where the users gave no
// figure.
type load struct {
	nodes            float64
	requests, tokens float64
	firstToken       float64
	betweenTokens    float64
	edits            float64
	dataCenters      float64
	// onceShare is the assumed part of requests that must not run twice and
	// carry an idempotency key.
	onceShare float64
	// outage is the assumed length of a long outage, in seconds.
	outage float64
}

// budget is what control may use on a node.
type budget struct {
	core, bytes, memory float64
}

// row is one line of a table.
type row []string

var design = load{
	nodes: 350, requests: 9600, tokens: 2e6, firstToken: 0.46, betweenTokens: 0.060,
	edits: 290, dataCenters: 7, onceShare: 0.02, outage: 3600,
}

var allowed = budget{core: 0.014, bytes: 8000, memory: 64e6}

const (
	// settleSeconds and listRate are defaults of the program.
	settleSeconds  = 5.0
	listRate       = 100.0
	watchSeconds   = 8.0
	watchersCenter = 2.0
	// storeWrites and storeReads are the platform's rates. "Several hundred"
	// writes is taken as 300.
	storeWrites = 300.0
	storeReads  = 2000.0

	// leastFitted is the smallest fleet taken into the fits.
	leastFitted = 32

	megabyte = 1e6
	kilobyte = 1e3
	percent  = 100
)

// Page returns the tables of docs/CAPACITY.md for the results.
func Page(r Results) string {
	var text strings.Builder
	fmt.Fprintf(&text, "Measured on %s with %s on %d cores.\n", r.Taken, r.Go, r.Cores)
	section(&text, "Slopes", r.slopes())
	section(&text, "Fleets in one process", r.fleets())
	section(&text, "Control of a node at the design size", r.control())
	section(&text, "Calls to the platform's store at the design size, worked out from the program's constants", storeCalls())
	section(&text, "Data path of a node in the busy hour, from measured slopes", r.dataPath())
	return text.String()
}

func section(text *strings.Builder, title string, rows []row) {
	fmt.Fprintf(text, "\n### %s\n\n", title)
	for n, cells := range rows {
		fmt.Fprintf(text, "| %s |\n", strings.Join(cells, " | "))
		if n == 0 {
			fmt.Fprintf(text, "|%s\n", strings.Repeat(" --- |", len(cells)))
		}
	}
}

// fleetFit returns the line through a figure of the fleets with 20 teams. In
// smaller fleets no node has its full number of neighbours yet.
func (r Results) fleetFit(figure func(fleetMeasurement) float64) Fit {
	var points []Point
	for _, f := range r.Fleet {
		if f.Teams == designSize.teams && f.Nodes >= leastFitted {
			points = append(points, Point{float64(f.Nodes), figure(f)})
		}
	}
	return fitLine(points)
}

func (r Results) axis(name, size string) Axis {
	for _, a := range r.Axes {
		if a.Name == name && a.Size == size {
			return a
		}
	}
	return Axis{}
}

// last returns the figure measured at the largest size.
func (a Axis) last() float64 {
	if len(a.Points) == 0 {
		return 0
	}
	return a.Points[len(a.Points)-1].Value
}

func (r Results) slopes() []row {
	rows := []row{{"What", "Grows with", "Sizes", "Base", "Slope", "Unit", "Residual"}}
	for _, a := range append(append([]Axis(nil), r.Axes...), r.AddedCPU) {
		if len(a.Points) == 0 {
			continue
		}
		first, last := a.Points[0], a.Points[len(a.Points)-1]
		rows = append(rows, row{
			a.Name, a.Size, fmt.Sprintf("%d: %.0f to %.0f", len(a.Points), first.Size, last.Size),
			fmt.Sprintf("%.0f", a.Fit.Base), fmt.Sprintf("%.4g", a.Fit.Slope), a.Unit, fmt.Sprintf("%.1f%%", a.Fit.Residual*percent),
		})
	}
	return rows
}

func (r Results) fleets() []row {
	rows := []row{{"Nodes", "Teams", "Mean bytes/s", "Most bytes/s", "Part of a core", "Memory MB", "Edit everywhere"}}
	add := func(nodes, teams string, f fleetMeasurement) {
		rows = append(rows, row{
			nodes, teams, fmt.Sprintf("%.0f", f.MeanBytesPerSecond), fmt.Sprintf("%.0f", f.MaxBytesPerSecond), fmt.Sprintf("%.2f%%", f.CPUShare*percent),
			fmt.Sprintf("%.2f", f.HeapBytes/megabyte), fmt.Sprintf("%.0f ms", f.SpreadMillis),
		})
	}
	for _, f := range r.Fleet {
		add(strconv.Itoa(f.Nodes), strconv.Itoa(f.Teams), f)
	}
	add("350, fitted", "20", r.fittedFleet())
	return rows
}

// fittedFleet returns the figures at the design size: by the fitted lines, but
// for the processor the largest measured figure, since it falls with the size.
func (r Results) fittedFleet() fleetMeasurement {
	at := func(figure func(fleetMeasurement) float64) float64 { return r.fleetFit(figure).At(design.nodes) }
	fitted := fleetMeasurement{
		MeanBytesPerSecond: at(func(f fleetMeasurement) float64 { return f.MeanBytesPerSecond }),
		MaxBytesPerSecond:  at(func(f fleetMeasurement) float64 { return f.MaxBytesPerSecond }),
		HeapBytes:          at(func(f fleetMeasurement) float64 { return f.HeapBytes }),
		SpreadMillis:       at(func(f fleetMeasurement) float64 { return f.SpreadMillis }),
	}
	for _, f := range r.Fleet {
		fitted.CPUShare = max(fitted.CPUShare, f.CPUShare)
	}
	return fitted
}

func (r Results) control() []row {
	fleet := r.fittedFleet()
	requests := design.requests / design.nodes
	waiting := design.outage * requests
	bills := 2 * r.axis("open bills", "bills").Fit.Slope * waiting
	ratings := r.axis("answers awaiting ratings", "answers").last()
	hints := float64(designSize.versions) * r.axis("prefix hints", "prefixes").Fit.At(8192)
	cells := float64(designSize.versions*designSize.classes*2*8) * r.axis("cascade evidence", "cells").Fit.Slope
	config := 3 * r.axis("accepted configuration", "routes").Fit.At(float64(designSize.teams*designSize.classes))
	request := r.axis("admit, choose, finish a request", "teams").Fit.At(float64(designSize.teams)) * requests / 1e9
	session := r.axis("session token: seal and open", "stages").Fit.At(2) * requests / 1e9
	settle := r.axis("settle bills into an account", "bills").Fit.Slope * requests / 1e9
	apply := r.axis("apply a configuration", "routes").Fit.At(80) * design.edits / 86400 / 1e9
	tick := r.axis("tick: totals into shares and tests", "teams").Fit.At(20) * 2 / 1e9
	contribution := r.axis("contribution to the sums", "teams").Fit.At(20) * 2 / 1e9
	// A bill goes out alone unless others came while one was on its way.
	copies := requests * r.axis("copies of bills in one message", "bills").Fit.At(1)
	histograms := r.axis("metrics", "routes").Fit.At(float64(designSize.teams * designSize.classes))
	measuring := requests * r.axis("metrics of a request", "tokens").Fit.At(design.tokens/design.requests) / 1e9
	memory := fleet.HeapBytes + bills + ratings + hints + cells + config + histograms
	core := fleet.CPUShare + session + settle + apply + measuring
	cost := func(share float64) string { return fmt.Sprintf("%.4f%%", share*percent) }
	size := func(bytes float64) string { return fmt.Sprintf("%.2f MB", bytes/megabyte) }
	return []row{
		{"Duty", "State", "Messages", "Part of a core", "Memory", "Carried by", "Figure"},
		{"Serving callers: decisions", "requests in progress", "none", cost(request), "in the fleet's figure", "one lock, no waiting under it", "measured per request"},
		{"Sessions", "none; the token has it", "none", cost(session), "0", "signed tokens, keys in the configuration", "measured; every request with a session assumed"},
		{"Cascade state", "evidence for each pool, class and bucket", "in the sums, every 10 s", "in the tick", size(cells), "sums over the tree", "measured"},
		{"Allowances", "a gate for each route", "in the sums, every 0.5 s, 6 values a message", cost(tick), "in the fleet's figure", "demand-proportional shares from sums", "measured"},
		{"Upstream load", "a record for each server", "none of its own: reports ride on answers", "in the decisions", "in the fleet's figure", "own calls in progress, lagged reports, eight random choices", "measured"},
		{"Prefix locality", "two generations of 4,096 prefixes for each pool", "none of its own", "in the decisions", size(hints), "rendezvous hashing and hints", "measured per prefix, full tables assumed"},
		{"Peers", "a member record for each node", fmt.Sprintf("mean %.1f, most %.1f KB/s", fleet.MeanBytesPerSecond/kilobyte, fleet.MaxBytesPerSecond/kilobyte), cost(max(0, fleet.CPUShare-request)), size(fleet.HeapBytes), "tree of members, fan-out 2, 0.5 s ticks", "bytes, memory fitted from 32 to 256 nodes; processor the largest measured"},
		{"Configuration", "one encoded copy and its index", fmt.Sprintf("%.0f bytes/s", r.axis("accepted configuration", "servers").Fit.At(600)*design.edits/86400*2), cost(apply), size(config), "generations by watch and by peers", "measured per edit"},
		{"Ratings and version evidence", "the last 32,768 answers", "in the sums, every 2 s", cost(contribution), size(ratings), "exact sums, sequential test at every node", "measured"},
		{"Bills", fmt.Sprintf("%.0f bills in an hour's outage, as many copies", waiting), fmt.Sprintf("%.1f KB/s to the holder, as much from owners", copies/kilobyte), cost(settle), size(bills), "numbered bills, one account for each run", "measured per bill, outage of an hour assumed"},
		{"Leases and orders", "a mark for each pool", "none between nodes; the store has the leases", "not measured", "under 0.01 MB", "the pool's owner by its hash, once for each change of a version", "assumed"},
		{"Metrics", "histograms for each route", "none between nodes", cost(measuring), size(histograms), "bounded by the routes table", "measured"},
		{"Logs", "none", "an entry for each refusal and change", "not measured", "0", "numbered events", "assumed"},
		{"**All of control**", "", fmt.Sprintf("most %.1f, with copies of bills %.1f, of %.0f KB/s", fleet.MaxBytesPerSecond/kilobyte, (fleet.MaxBytesPerSecond+2*copies)/kilobyte, allowed.bytes/kilobyte), fmt.Sprintf("%.2f%% of %.1f%%", core*percent, allowed.core*percent), fmt.Sprintf("%.1f of %.0f MB", memory/megabyte, allowed.memory/megabyte), verdict(fleet.MaxBytesPerSecond+2*copies, core, memory), ""},
	}
}

func verdict(bytes, core, memory float64) string {
	var over []string
	note := func(what string, used, most float64) {
		if used > most {
			over = append(over, fmt.Sprintf("%s over by %.0f%%", what, (used/most-1)*percent))
		}
	}
	note("bytes", bytes, allowed.bytes)
	note("processor", core, allowed.core)
	note("memory", memory, allowed.memory)
	if len(over) == 0 {
		return "within the budget"
	}
	return strings.Join(over, ", ")
}

// storeCalls works out the calls from the program's constants.
func storeCalls() []row {
	settles := design.nodes / settleSeconds
	claims := design.requests * design.onceShare
	watches := watchersCenter * design.dataCenters
	rate := func(value float64) string { return fmt.Sprintf("%.1f", value) }
	writes := settles + 2*claims
	reads := settles + 2*claims + listRate + watches/watchSeconds
	return []row{
		{"When", "Call", "Reads/s", "Writes/s", "How"},
		{"always", "waiting watches", rate(watches / watchSeconds), "0", fmt.Sprintf("%.0f instances keep one, each counts as a call every %.0f s", watches, watchSeconds)},
		{"always", "list of instances", rate(listRate), "0", "bounded for the whole fleet"},
		{"always", "bills", rate(settles), rate(settles), fmt.Sprintf("one conditional write for each node every %.0f s, whatever its requests", settleSeconds)},
		{"always", "idempotency keys", rate(2 * claims), rate(2 * claims), fmt.Sprintf("two writes for each keyed request; %.0f%% of requests assumed", design.onceShare*percent)},
		{"always", "**sum**", rate(reads), rate(writes), fmt.Sprintf("of %.0f reads and %.0f writes", storeReads, storeWrites)},
		{"an edit", "acceptance", fmt.Sprintf("%.0f calls", 5*watches), fmt.Sprintf("%.0f calls", 2*watches), "every watcher tries, one wins; once for each edit"},
		{"a change of a version", "lease and orders", "1 call", "2 calls", "and an order for each of the pool's engines, at 75 servers within a lease of 10 s"},
		{"start of the whole fleet", "watch, key, list", fmt.Sprintf("%.0f calls", 3*design.nodes), "1 call", "within the seconds that the nodes take to start"},
		{"end of an outage", "bills", rate(settles), rate(settles), "the same as always: all open bills of a node go into one write"},
		{"loss of a rack (8 nodes)", "bills taken over", rate(8 / settleSeconds), rate(8 / settleSeconds), "one write for each lost run, within two settlements"},
		{"loss of a data centre (50 nodes)", "bills taken over", rate(50 / settleSeconds), rate(50 / settleSeconds), "the same"},
		{"loss of a region (200 nodes)", "bills taken over", rate(200 / settleSeconds), rate(200 / settleSeconds), "the same"},
	}
}

func (r Results) dataPath() []row {
	duration := design.firstToken + design.tokens/design.requests*design.betweenTokens
	rows := []row{{"Nodes left", "Requests/s", "Tokens/s", "Open streams", "Connections", "Cores", "Memory of streams"}}
	for _, left := range []struct {
		name  string
		nodes float64
	}{{"350", 350}, {"300, a data centre lost", 300}, {"150, a region of four lost", 150}} {
		requests, tokens := design.requests/left.nodes, design.tokens/left.nodes
		streams := requests * duration
		cores := (requests*r.AddedCPU.Fit.Base + tokens*r.AddedCPU.Fit.Slope) / 1e9
		rows = append(rows, row{
			left.name, fmt.Sprintf("%.1f", requests), fmt.Sprintf("%.0f", tokens), fmt.Sprintf("%.0f", streams),
			fmt.Sprintf("%.0f", 2*streams), fmt.Sprintf("%.2f", cores), fmt.Sprintf("%.1f MB", streams*r.StreamBytes/megabyte),
		})
	}
	return rows
}
