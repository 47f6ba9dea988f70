package processes

import (
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"mimosayard/internal/core/tables"
	"mimosayard/internal/instance/service"
)

// TestGracefulStopInterruptsNoStream guards against streams that are cut when
// an instance is stopped under load. Callers send until the listener is closed;
// every answer must be complete and billed once.
func TestGracefulStopInterruptsNoStream(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, nil)
	const callers = 12
	var served, refused atomic.Int64
	done := make(chan struct{})
	group := newGroup()
	for c := range callers {
		group.Go(func() error {
			for n := 0; ; n++ {
				select {
				case <-done:
					return nil
				default:
				}
				a := f.call(0, chatCall(fmt.Sprintf("caller %d turn %d", c, n), nil))
				switch {
				case a.isCompleteStream():
					served.Add(1)
				case a.status == 0 && a.body == "":
					// The listener is closed; a load balancer would use another instance.
					refused.Add(1)
					return nil
				default:
					return fmt.Errorf("status %d, error %w, body %q", a.status, a.err, tail(a.body))
				}
			}
		})
	}
	f.await("traffic flows", func() bool { return served.Load() > 2*callers })
	is := is.New(t)
	is.Equal(f.instances[0].stop(), 0)
	close(done)
	is.NoErr(group.Wait())
	assertBilledOnce(t, f, served.Load())
}

// TestLeavingUpstreamGetsNoNewRequests guards against requests that are sent to
// an upstream after the platform's list of instances has marked it as leaving.
func TestLeavingUpstreamGetsNoNewRequests(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, nil)
	f.pools.Pools[2].Upstreams = append(f.pools.Pools[2].Upstreams,
		tables.Upstream{Name: "desk-b", Address: f.subnet + ".51:7200", DataCenter: dataCenter})
	f.upstreams["desk-b"] = f.startUpstream(f.pools.Pools[2], f.pools.Pools[2].Upstreams[1])
	f.awaitHTTP("http://" + f.subnet + ".51:7200/admin/runs")
	f.apply()
	f.awaitGeneration(2, f.instances...)
	f.put(f.platformURL()+"/admin/instances",
		`[{"name":"desk-a","role":"upstream","leaving":true}]`)
	f.awaitStatus(f.instances[0], func(s service.Status) bool { return s.LeavingUpstreams == 1 })
	for n := range 20 {
		is.New(t).Equal(f.call(0, depositCall(fmt.Sprintf(`{"raft":%d}`, n), strconv.Itoa(n))).status, http.StatusOK)
	}
	is.New(t).Equal(f.plainServiceExecutions().Effects, 0)
}

// TestBadVersionIsWithdrawn guards against a rollout that keeps serving a version
// with bad answers, and against a withdrawal that is lost: restarted instances
// read a configuration that is newer than the withdrawal.
func TestBadVersionIsWithdrawn(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, func(f *fleet) {
		newPool := f.pools.Pools[0]
		newPool.Name, newPool.Version = poolSmallV2, "v2"
		newPool.Rollout = &tables.Rollout{Replaces: poolSmallV1, Steps: []float64{0.5, 1}, StepMin: 3600000, StepMax: 7200000}
		newPool.Upstreams = []tables.Upstream{{Name: "small-v2-a", Address: f.subnet + ".35:7100", DataCenter: dataCenter}}
		f.pools.Pools = append(f.pools.Pools, newPool)
		f.routes.Routes[0].Pools = []tables.PoolID{poolSmallV1, poolSmallV2}
		f.routes.Routes[0].QualityTarget = 0
	})
	f.put("http://"+f.subnet+".35:7100/admin/faults", `{"quality":0.3}`)
	isWithdrawn := func(s service.Status) bool {
		for _, v := range s.RolloutProgress {
			if v.Pool == poolSmallV2 && v.Withdrawn {
				return true
			}
		}
		return false
	}
	turns := 0
	f.await("the bad version is withdrawn", func() bool {
		for n := range f.instances {
			for range 4 {
				turns++
				assertCompleteStream(t, f.call(n, chatCall(fmt.Sprintf("turn %d", turns), nil)))
			}
		}
		var s service.Status
		f.getJSON("http://"+f.instances[0].settings.OperatorsAddress+"/status", &s)
		return isWithdrawn(s)
	})
	for _, i := range f.instances {
		f.awaitStatus(i, isWithdrawn)
	}
	t.Run("version stays withdrawn after all instances are replaced", func(*testing.T) {
		f.await("the withdrawal is in the store", func() bool {
			var stored struct {
				Pools []struct {
					Withdrawn bool `json:"withdrawn"`
				} `json:"pools"`
			}
			return f.getJSON(f.platformURL()+"/v1/objects/control%2Fprogress", &stored) && len(stored.Pools) == 1 && stored.Pools[0].Withdrawn
		})
		// This makes the configuration in the store newer than the withdrawal.
		f.editWeight(2)
		f.apply()
		for _, i := range f.instances {
			i.kill()
		}
		for n := range f.instances {
			f.instances[n] = f.startInstance(n)
		}
		for _, i := range f.instances {
			f.awaitStatus(i, func(s service.Status) bool { return s.Ready && isWithdrawn(s) })
		}
	})
}
