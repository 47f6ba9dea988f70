package processes

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"mimosayard/internal/instance/service"
	"mimosayard/internal/instance/settings"
)

// assertServes makes a number of calls to an instance and checks that each is
// answered by a complete stream.
func (f *fleet) assertServes(t *testing.T, index, calls int, prompt string) {
	t.Helper()
	for c := range calls {
		assertCompleteStream(t, f.call(index, chatCall(fmt.Sprintf("%s %d", prompt, c), nil)))
	}
}

// assertBilledOnce waits until the wanted number of requests is billed and no
// running instance has unsettled bills, and checks that no more are billed.
func assertBilledOnce(t *testing.T, f *fleet, want int64) {
	t.Helper()
	f.awaitBills(want)
	for _, i := range f.instances {
		if i.command.ProcessState == nil {
			f.awaitStatus(i, func(s service.Status) bool { return s.UnsettledBills == 0 && s.PeerBillCopies == 0 })
		}
	}
	_, count := f.billedTotals()
	is.New(t).Equal(count, want)
}

// TestRequestsAreBilledOnceThroughFailures guards against requests that are
// billed twice or never. A write of bills is repeated if the store's answer is
// lost; bills of an instance that is killed or paused are settled by its peers,
// and perhaps by itself once it is resumed.
func TestRequestsAreBilledOnceThroughFailures(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, nil)
	platformFaults := f.platformURL() + "/admin/faults"
	f.assertServes(t, 0, 5, "plain")
	assertBilledOnce(t, f, 5)
	t.Run("store applies writes but its answers are lost", func(t *testing.T) {
		f.put(platformFaults, `{"lose_answers":3}`)
		f.assertServes(t, 0, 5, "lost")
		f.assertServes(t, 1, 5, "lost")
		assertBilledOnce(t, f, 15)
	})
	t.Run("store outage", func(t *testing.T) {
		f.put(platformFaults, `{"outage":true}`)
		f.assertServes(t, 0, 5, "outage")
		f.put(platformFaults, `{}`)
		assertBilledOnce(t, f, 20)
	})
	t.Run("instance killed with unsettled bills in a store outage", func(t *testing.T) {
		f.put(platformFaults, `{"outage":true}`)
		f.assertServes(t, 0, 5, "killed")
		f.instances[0].kill()
		f.put(platformFaults, `{}`)
		assertBilledOnce(t, f, 25)
	})
	t.Run("instance paused, considered down, and resumed", func(t *testing.T) {
		f.put(platformFaults, `{"outage":true}`)
		f.assertServes(t, 1, 5, "paused")
		f.instances[1].pause()
		f.put(platformFaults, `{}`)
		f.awaitBills(30)
		f.instances[1].resume()
		f.assertServes(t, 1, 5, "resumed")
		assertBilledOnce(t, f, 35)
	})
	t.Run("restarted instance settles its bills", func(t *testing.T) {
		f.instances[0] = f.startInstance(0)
		f.awaitStatus(f.instances[0], func(s service.Status) bool { return s.Ready && len(s.Members) == 3 })
		f.assertServes(t, 0, 5, "anew")
		assertBilledOnce(t, f, 40)
	})
}

// TestUnsettledBillsAreBounded guards against unbounded memory use in a store
// outage: bills that cannot be written are kept up to max_waiting_bills, and
// further requests are refused until the store is back.
func TestUnsettledBillsAreBounded(t *testing.T) {
	t.Parallel()
	const maxWaiting = 6
	f := newFleet(t, 1, func(f *fleet) {
		f.changeSettings = func(s *settings.Settings) { s.MaxWaitingBills = maxWaiting }
	})
	f.put(f.platformURL()+"/admin/faults", `{"outage":true}`)
	f.assertServes(t, 0, maxWaiting, "within the bound")
	assertError(t, f.call(0, chatCall("over the bound", nil)), http.StatusServiceUnavailable, "platform_unavailable", "no")
	f.put(f.platformURL()+"/admin/faults", `{}`)
	assertBilledOnce(t, f, maxWaiting)
	f.assertServes(t, 0, 1, "after the outage")
	assertBilledOnce(t, f, maxWaiting+1)
}

// TestCanceledAnswerIsBilledOnce guards against requests that are not billed or
// billed twice when the caller closes its connection. The caller reads the first
// bytes only, so the answer is canceled midway or just after its end.
func TestCanceledAnswerIsBilledOnce(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, nil)
	c := chatCall("a caller that goes away", nil)
	request, err := http.NewRequest(c.method, "http://"+f.address(0, 8080)+c.path, strings.NewReader(c.body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+c.team)
	response, err := httpClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	part := make([]byte, 8)
	_, err = response.Body.Read(part)
	is.New(t).NoErr(err)
	_ = response.Body.Close()
	assertBilledOnce(t, f, 1)
}
