package processes

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"mimosayard/internal/core/tables"
	"mimosayard/internal/instance/service"
)

// TestSilentConnections guards against requests and edits that fail because
// pooled connections carry no more data without being closed, as after a lost
// route. All open connections to the platform and to the upstreams stop
// carrying data just before an edit.
func TestSilentConnections(t *testing.T) {
	t.Parallel()
	var relays []*relay
	f := newFleet(t, 2, func(f *fleet) {
		f.platformRelay = f.subnet + ".3:7000"
		relays = append(relays, newRelay(t, f.platformRelay, f.platformAddress()))
		for p := range f.pools.Pools {
			for u := range f.pools.Pools[p].Upstreams {
				upstream := &f.pools.Pools[p].Upstreams[u]
				f.relayTargets[upstream.Name] = upstream.Address
				relayAddress := fmt.Sprintf("%s.%d:7100", f.subnet, 200+10*p+u)
				relays = append(relays, newRelay(t, relayAddress, upstream.Address))
				upstream.Address = relayAddress
			}
		}
	})
	// The choice of upstreams is random, so call until each has a connection.
	requestCount := int64(0)
	for !allHaveConnections(relays) {
		if requestCount > 200 {
			t.Fatalf("a relay has no connection after %d requests", requestCount)
		}
		f.assertServes(t, 0, 5, fmt.Sprintf("before, %d", requestCount))
		f.assertServes(t, 1, 5, fmt.Sprintf("before, %d", requestCount))
		if requestCount == 0 {
			is.New(t).Equal(f.call(0, depositCall(`{"raft":1}`, "before")).status, http.StatusOK)
		}
		requestCount += 10
	}
	is := is.New(t)
	for _, r := range relays {
		is.True(r.silence() > 0)
	}
	f.editWeight(7)
	f.apply()
	t.Run("idempotent calls are retried on new connections", func(t *testing.T) {
		f.assertServes(t, 0, 5, "after")
		f.assertServes(t, 1, 5, "after")
	})
	t.Run("non-idempotent calls do not use the silent connections", func(t *testing.T) {
		is.Equal(f.call(1, depositCall(`{"raft":2}`, "after")).status, http.StatusOK)
		assertRanOnce(t, f, 2)
	})
	t.Run("edit reaches every instance", func(*testing.T) {
		f.awaitGeneration(2, f.instances...)
	})
	t.Run("each request is billed once", func(t *testing.T) {
		assertBilledOnce(t, f, requestCount+12)
	})
}

// allHaveConnections reports whether each relay has forwarded a connection.
func allHaveConnections(relays []*relay) bool {
	for _, r := range relays {
		if r.connectionCount() == 0 {
			return false
		}
	}
	return true
}

// TestRolloutResumesAfterRestart guards against a rollout that starts again or
// stops, and against sessions that change their version, when all instances are
// killed and replaced in the middle of a rollout.
func TestRolloutResumesAfterRestart(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2, func(f *fleet) {
		newPool := f.pools.Pools[0]
		newPool.Name, newPool.Version = poolSmallV2, "v2"
		newPool.Rollout = &tables.Rollout{Replaces: poolSmallV1, Steps: []float64{0.4, 0.6, 1}, StepMin: 200, StepMax: 3600000}
		newPool.Upstreams = []tables.Upstream{{Name: "small-v2-a", Address: f.subnet + ".35:7100", DataCenter: dataCenter}}
		f.pools.Pools = append(f.pools.Pools, newPool)
		f.routes.Routes[0].Pools = []tables.PoolID{poolSmallV1, poolSmallV2}
		f.routes.Routes[0].QualityTarget = 0
	})
	turns := 0
	session := map[string]string{"X-Mimosayard-Session": "new"}
	openingAnswer := f.call(0, chatCall("a session on the version before", session))
	assertCompleteStream(t, openingAnswer)
	session["X-Mimosayard-Session"] = openingAnswer.header.Get("X-Mimosayard-Session")
	stepReached := func(step int) func() bool {
		return func() bool {
			for n := range f.instances {
				for range 4 {
					turns++
					assertCompleteStream(t, f.call(n, chatCall(fmt.Sprintf("turn %d", turns), nil)))
				}
			}
			return f.storedStep() >= step
		}
	}
	f.await("the rollout leaves its first step", stepReached(1))
	for _, i := range f.instances {
		i.kill()
	}
	for n := range f.instances {
		f.instances[n] = f.startInstance(n)
	}
	for _, i := range f.instances {
		f.awaitStatus(i, func(s service.Status) bool {
			return s.Ready && len(s.Members) == 2 && len(s.RolloutProgress) == 1 && s.RolloutProgress[0].Step >= 1
		})
	}
	f.await("the rollout reaches its last step", stepReached(2))
	t.Run("session keeps its version", func(t *testing.T) {
		openingModel := answeringModel(openingAnswer.body)
		for n := range f.instances {
			a := f.call(n, chatCall("still there", session))
			assertCompleteStream(t, a)
			is.New(t).Equal(answeringModel(a.body), openingModel)
		}
	})
}

// storedStep returns the rollout step in the store, -1 if there is none.
func (f *fleet) storedStep() int {
	var stored struct {
		Pools []struct {
			Step int `json:"step"`
		} `json:"pools"`
	}
	if !f.getJSON(f.platformURL()+"/v1/objects/control%2Fprogress", &stored) || len(stored.Pools) == 0 {
		return -1
	}
	return stored.Pools[0].Step
}

// TestSlowStore guards against requests, edits or bills that fail because the
// platform takes 2 s for each answer.
func TestSlowStore(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2, nil)
	f.put(f.platformURL()+"/admin/faults", `{"delay_ms":2000}`)
	f.assertServes(t, 0, 10, "slow")
	f.assertServes(t, 1, 10, "slow")
	f.editWeight(9)
	f.apply("-wait", "60s")
	f.awaitGeneration(2, f.instances...)
	f.put(f.platformURL()+"/admin/faults", `{}`)
	assertBilledOnce(t, f, 20)
}
