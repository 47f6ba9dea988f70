package demo

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/gravitational/trace"

	"mimosayard/internal/core/billing"
	"mimosayard/internal/core/tables"
	"mimosayard/internal/instance/bills"
	"mimosayard/internal/platform/objects"
)

// billsTimeout bounds the wait for the bills of the last requests.
const billsTimeout = 6 * time.Second

// report prints the results of each team, the versions and the store calls. It
// returns an error if the number of requests billed differs from that served.
func (r *runner) report(collected *results) error {
	served := int64(0)
	for _, t := range collected.teams {
		served += t.served
	}
	bills, err := r.waitForBills(served)
	if err != nil {
		return trace.Wrap(err)
	}
	r.printTeams(collected, bills)
	r.printVersions()
	billed := int64(0)
	for _, total := range bills {
		billed += total.Requests
	}
	r.printf("\nstore calls: %s\n", r.formatStoreCalls())
	if billed != served {
		return fmt.Errorf("%d requests were served but %d billed", served, billed)
	}
	r.printf("%d requests served, each billed once\n", served)
	return nil
}

// waitForBills polls the platform's objects until they hold the bills of all
// requests served. After billsTimeout it returns the bills found so far.
func (r *runner) waitForBills(served int64) (map[tables.TeamID]billing.Total, error) {
	client := &objects.Client{BaseURL: "http://" + platformAddress}
	deadline := time.Now().Add(billsTimeout)
	for {
		accounts, err := client.List(r.ctx, bills.KeyPrefix)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		sums, count := sumAccounts(accounts)
		if count >= served || time.Now().After(deadline) {
			return sums, nil
		}
		time.Sleep(pollInterval)
	}
}

func (r *runner) printf(format string, values ...any) {
	_, _ = fmt.Fprintf(r.options.Output, format, values...)
}

func (r *runner) printKeepHint() {
	r.printf("\nThe demo goes on until it is interrupted. Try:\n\n")
	r.printf("  curl -N %s/v1/chat/completions -H 'Authorization: Bearer demo-residents' -d '{\"model\":\"valodas-modelis\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"When does the last raft leave?\"}]}'\n\n", r.callersURL(0))
}

func (r *runner) printTeams(collected *results, bills map[tables.TeamID]billing.Total) {
	w := tabwriter.NewWriter(r.options.Output, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "team\tserved\tbilled\tcost micros\tnew version\twrong answers\tfirst p50\tp95\ttotal p50\tp95\t  refusals\t")
	for _, team := range r.teams() {
		t := collected.teams[team]
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t  %s\t\n",
			team, t.served, bills[team].Requests, bills[team].Cost, t.newVersionAnswers, t.wrongAnswers,
			latencyQuantile(t.firstByteMicros, 50), latencyQuantile(t.firstByteMicros, 95), latencyQuantile(t.totalMicros, 50), latencyQuantile(t.totalMicros, 95), t.formatRefusals())
	}
	_ = w.Flush()
}

func (r *runner) printVersions() {
	status, err := r.status(0)
	if err != nil {
		return
	}
	for _, v := range status.RolloutProgress {
		r.printf("\nversion %s: step %d, withdrawn %t %s\n", v.Pool, v.Step, v.Withdrawn, v.Reason)
	}
}

// formatStoreCalls returns each instance's number of calls to the platform.
func (r *runner) formatStoreCalls() string {
	var texts []string
	for n := range instanceCount {
		status, err := r.status(n)
		if err != nil {
			continue
		}
		calls := status.StoreCalls
		texts = append(texts, fmt.Sprintf("%s %d reads, %d writes, %d watches", status.Instance, calls.Reads, calls.Writes, calls.Watches))
	}
	return strings.Join(texts, "; ")
}

// formatRefusals returns the number of refusals of each type, sorted by type.
func (t *teamResults) formatRefusals() string {
	if len(t.refusals) == 0 {
		return "none"
	}
	var texts []string
	for kind, count := range t.refusals {
		texts = append(texts, fmt.Sprintf("%s %d", kind, count))
	}
	slices.Sort(texts)
	return strings.Join(texts, ", ")
}

// latencyQuantile returns a quantile of a histogram in microseconds, rounded to
// a tenth of a millisecond.
func latencyQuantile(histogram *hdrhistogram.Histogram, percent float64) time.Duration {
	micros := histogram.ValueAtQuantile(percent)
	return (time.Duration(micros) * time.Microsecond).Round(100 * time.Microsecond)
}

// sumAccounts returns the totals of each team over all accounts, and the number
// of requests billed. It skips objects that aren't accounts.
func sumAccounts(accounts []objects.Object) (map[tables.TeamID]billing.Total, int64) {
	sums := map[tables.TeamID]billing.Total{}
	count := int64(0)
	for _, object := range accounts {
		var account billing.Account
		if json.Unmarshal(object.Value, &account) != nil {
			continue
		}
		for team, total := range account.Totals {
			sums[team] = sums[team].Add(total)
			count += total.Requests
		}
	}
	return sums, count
}
