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

// assertServes makes a number of calls to a router and checks their answers.
func (f *fleet) assertServes(t *testing.T, index, calls int, prompt string) {
	t.Helper()
	for c := range calls {
		assertCompleteStream(t, f.call(index, chatCall(fmt.Sprintf("%s %d", prompt, c), nil)))
	}
}

// assertBilledOnce waits for the bills and checks that there are no more.
func assertBilledOnce(t *testing.T, f *fleet, want int64) {
	t.Helper()
	f.awaitBills(want)
	for _, i := range f.instances {
		if i.command.ProcessState == nil {
			f.awaitStatus(i, func(s service.Status) bool { return s.BillsOpen == 0 && s.BillsHeld == 0 })
		}
	}
	_, count := f.billedTotals()
	is.New(t).Equal(count, want)
}

func TestBilledOnceThroughFailures(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, nil)
	platformFaults := f.platformURL() + "/admin/faults"
	f.assertServes(t, 0, 5, "plain")
	assertBilledOnce(t, f, 5)
	t.Run("lost answers of the store", func(t *testing.T) {
		f.put(platformFaults, `{"lose_answers":3}`)
		f.assertServes(t, 0, 5, "lost")
		f.assertServes(t, 1, 5, "lost")
		assertBilledOnce(t, f, 15)
	})
	t.Run("outage of the store", func(t *testing.T) {
		f.put(platformFaults, `{"outage":true}`)
		f.assertServes(t, 0, 5, "outage")
		f.put(platformFaults, `{}`)
		assertBilledOnce(t, f, 20)
	})
	t.Run("instance killed before it settled, in an outage of the store", func(t *testing.T) {
		f.put(platformFaults, `{"outage":true}`)
		f.assertServes(t, 0, 5, "killed")
		f.instances[0].kill()
		f.put(platformFaults, `{}`)
		assertBilledOnce(t, f, 25)
	})
	t.Run("instance paused, taken for down, and back", func(t *testing.T) {
		f.put(platformFaults, `{"outage":true}`)
		f.assertServes(t, 1, 5, "paused")
		f.instances[1].pause()
		f.put(platformFaults, `{}`)
		f.awaitBills(30)
		f.instances[1].resume()
		f.assertServes(t, 1, 5, "resumed")
		assertBilledOnce(t, f, 35)
	})
	t.Run("instance started anew settles what it had held", func(t *testing.T) {
		f.instances[0] = f.startInstance(0)
		f.awaitStatus(f.instances[0], func(s service.Status) bool { return s.Ready && len(s.Members) == 3 })
		f.assertServes(t, 0, 5, "anew")
		assertBilledOnce(t, f, 40)
	})
}

// TestWaitingBillsAreBounded fills the bound on bills that wait for the store.
func TestWaitingBillsAreBounded(t *testing.T) {
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

// TestCanceledAnswerIsBilledOnce has a caller go away in the middle of its
// answer, or just behind its end.
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
