package commands

import (
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"mimosayard/internal/instance/service"
	"mimosayard/internal/net/http1"
)

func newStatusCmd() *command {
	return &command{
		name:    "status",
		summary: "Show what an instance says of itself and of the fleet.",
		usage:   "-instance URL [-json]",
		example: "mimosayard status -instance http://127.0.0.1:8081",
		run:     runStatusCmd,
	}
}

// instanceClient makes the requests to an instance.
var instanceClient = &http.Client{Timeout: 5 * time.Second, Transport: http1.DefaultTransport}

func runStatusCmd(i *invocation) error {
	instance := i.flags.String("instance", "", "operators' base `URL` of the instance")
	asJSON := i.flags.Bool("json", false, "print JSON")
	if err := i.parse(); err != nil {
		return err
	}
	if *instance == "" {
		return usageError("-instance is required")
	}
	ctx, stop := signalContext()
	defer stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, *instance+"/status", nil)
	if err != nil {
		return usageError("-instance %q is not a URL", *instance)
	}
	response, err := instanceClient.Do(request)
	if err != nil {
		return trace.ConnectionProblem(err, "the instance does not answer")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return trace.BadParameter("%s has no status", *instance)
	}
	var status service.Status
	if err := http1.DecodeJSON(response, &status); err != nil {
		return trace.BadParameter("the answer of %s is not a status", *instance)
	}
	if *asJSON {
		return i.printJSON(status)
	}
	i.printStatus(status)
	return nil
}

func (i *invocation) printStatus(status service.Status) {
	i.printf("instance     %s in %s, ready %t\n", status.Instance, status.DataCenter, status.Ready)
	i.printf("generation   %d (routes revision %d, pools revision %d)\n", status.Generation, status.RoutesRevision, status.PoolsRevision)
	i.printf("requests     %d in progress\n", status.InFlight)
	i.printf("bills        %d open, %d held for peers\n", status.UnsettledBills, status.PeerBillCopies)
	i.printf("store calls  %d reads, %d writes, %d watches\n", status.StoreCalls.Reads, status.StoreCalls.Writes, status.StoreCalls.Watches)
	i.printf("peers        %d bytes sent, %d bytes received\n", status.PeerTraffic.SentBytes, status.PeerTraffic.ReceivedBytes)
	for _, m := range status.Members {
		i.printf("member       %s in %s at %s, leaving %t\n", m.Instance, m.DataCenter, m.Address, m.Leaving)
	}
	for _, v := range status.RolloutProgress {
		i.printf("version      %s at step %d, withdrawn %t %s\n", v.Pool, v.Step, v.Withdrawn, v.Reason)
	}
}
