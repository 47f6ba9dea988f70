package processes

import (
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"mimosayard/internal/core/tables"
	"mimosayard/internal/instance/service"
)

// awaitGeneration waits until the given instances use a generation of the
// configuration.
func (f *fleet) awaitGeneration(generation uint64, instances ...*instance) {
	f.t.Helper()
	for _, i := range instances {
		f.awaitStatus(i, func(s service.Status) bool { return s.Generation == generation })
	}
}

// editWeight changes the weight in the first row of the routes table.
func (f *fleet) editWeight(weight float64) {
	f.routes.Routes[0].Allowance.Weight = weight
}

// TestConfigurationReachesEveryInstance guards against instances that keep or
// go back to an older configuration: by stale reads of the store, by a start in
// a store outage, or by a pause during an edit.
func TestConfigurationReachesEveryInstance(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 4, nil)
	platformFaults := f.platformURL() + "/admin/faults"
	t.Run("edit reaches every instance", func(*testing.T) {
		f.editWeight(2)
		f.apply()
		f.awaitGeneration(2, f.instances...)
	})
	t.Run("invalid tables are refused and nothing changes", func(t *testing.T) {
		is := is.New(t)
		f.routes.Routes[0].Pools = append(f.routes.Routes[0].Pools, "nowhere")
		output, code := f.tryApply()
		is.Equal(code, 2)
		is.True(strings.Contains(output, `row 1: pools: no pool is named "nowhere"`))
		f.routes.Routes[0].Pools = f.routes.Routes[0].Pools[:2]
		f.awaitGeneration(2, f.instances...)
	})
	t.Run("stale reads of the store do not restore an older generation", func(*testing.T) {
		f.put(platformFaults, `{"stale_reads":true}`)
		f.instances[3].stop()
		f.instances[3] = f.startInstance(3)
		f.awaitGeneration(2, f.instances...)
		f.put(platformFaults, `{}`)
		f.awaitGeneration(2, f.instances...)
	})
	t.Run("instance started in a store outage gets the configuration from peers", func(t *testing.T) {
		f.put(platformFaults, `{"outage":true}`)
		f.instances[2].kill()
		f.instances[2] = f.startInstance(2)
		f.awaitGeneration(2, f.instances[2])
		assertCompleteStream(t, f.call(2, chatCall("in the outage", nil)))
		f.put(platformFaults, `{}`)
	})
	t.Run("edit after the outage reaches every instance", func(*testing.T) {
		f.editWeight(3)
		f.apply()
		f.awaitGeneration(3, f.instances...)
	})
	t.Run("paused instance catches up", func(*testing.T) {
		f.instances[1].pause()
		f.editWeight(4)
		f.apply()
		f.awaitGeneration(4, f.instances[0], f.instances[2], f.instances[3])
		f.instances[1].resume()
		f.awaitGeneration(4, f.instances...)
	})
}

// TestConcurrentOperatorEdits guards against lost updates when operators edit
// the tables at the same time: an edit that is based on an older revision must
// be refused.
func TestConcurrentOperatorEdits(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, nil)
	t.Run("edit of an older revision is refused and both versions are shown", func(t *testing.T) {
		is := is.New(t)
		var status service.Status
		f.getJSON("http://"+f.instances[0].settings.OperatorsAddress+"/status", &status)
		base := strconv.FormatUint(status.RoutesRevision, 10)
		f.editWeight(5)
		f.apply("-base-routes", base)
		f.editWeight(6)
		output, code := f.tryApply("-base-routes", base)
		is.Equal(code, 3)
		is.True(strings.Contains(output, `"weight":5`))
		is.True(strings.Contains(output, `"weight":6`))
	})
	t.Run("exactly one of several concurrent edits is accepted", func(t *testing.T) {
		const editors = 6
		is := is.New(t)
		var status service.Status
		f.getJSON("http://"+f.instances[0].settings.OperatorsAddress+"/status", &status)
		codes := make([]int, editors)
		group := newGroup()
		for e := range editors {
			editorFleet := *f
			editorFleet.directory = t.TempDir()
			editorFleet.routes.Routes = append([]tables.Route(nil), f.routes.Routes...)
			editorFleet.editWeight(float64(10 + e))
			group.Go(func() error {
				_, codes[e] = editorFleet.tryApply("-base-routes", strconv.FormatUint(status.RoutesRevision, 10))
				return nil
			})
		}
		_ = group.Wait()
		accepted := 0
		for _, code := range codes {
			is.True(code == 0 || code == 3)
			if code == 0 {
				accepted++
			}
		}
		is.Equal(accepted, 1)
		f.awaitGeneration(status.Generation+1, f.instances[0])
	})
}

// TestWithdrawnVersionGetsNoNewRequests guards against calls to a withdrawn
// version. Sessions that are pinned to it could still lead there, at any
// instance; they must be refused as not run.
func TestWithdrawnVersionGetsNoNewRequests(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2, nil)
	openingAnswer := f.call(0, chatCall("good evening", map[string]string{"X-Mimosayard-Session": "new"}))
	assertCompleteStream(t, openingAnswer)
	session := map[string]string{"X-Mimosayard-Session": openingAnswer.header.Get("X-Mimosayard-Session")}
	t.Run("session continues at another instance", func(t *testing.T) {
		assertCompleteStream(t, f.call(1, chatCall("and the sauna", session)))
	})
	f.pools.Pools[0].Withdrawn = true
	f.apply()
	f.awaitGeneration(2, f.instances...)
	t.Run("session on the withdrawn version is refused as not run", func(t *testing.T) {
		for n := range f.instances {
			assertError(t, f.call(n, chatCall("and the towels", session)), http.StatusConflict, "version_withdrawn", "no")
		}
	})
	t.Run("withdrawn version is not called", func(t *testing.T) {
		is := is.New(t)
		servedCount := func() int {
			total := 0
			for _, hostSuffix := range []string{".30", ".31"} {
				counts := map[string]int{}
				f.getJSON("http://"+f.subnet+hostSuffix+":7100/admin/served", &counts)
				total += len(counts)
			}
			return total
		}
		servedBefore := servedCount()
		f.assertServes(t, 0, 10, "new work")
		f.assertServes(t, 1, 10, "new work")
		is.Equal(servedCount(), servedBefore)
	})
	t.Run("modified session token is refused", func(t *testing.T) {
		forged := map[string]string{"X-Mimosayard-Session": session["X-Mimosayard-Session"][:40] + "AAAA"}
		assertError(t, f.call(0, chatCall("hello", forged)), http.StatusBadRequest, "session_invalid", "no")
	})
}
