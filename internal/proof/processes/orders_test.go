package processes

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"mimosayard/internal/core/orders"
	"mimosayard/internal/core/tables"
)

type receivedOrder struct {
	Subject      string `json:"subject"`
	Action       string `json:"action"`
	FencingToken uint64 `json:"fence"`
}

func (f *fleet) engineURL(host string) string {
	return "http://" + f.subnet + host + ":7100"
}

func (f *fleet) receivedOrders(host string) []receivedOrder {
	var given []receivedOrder
	f.getJSON(f.engineURL(host)+"/admin/orders", &given)
	return given
}

// awaitOrder waits until an engine's latest order is the one wanted.
func (f *fleet) awaitOrder(host, action string) receivedOrder {
	f.t.Helper()
	var last receivedOrder
	f.await(host+" gets the order "+action, func() bool {
		given := f.receivedOrders(host)
		if len(given) == 0 {
			return false
		}
		last = given[len(given)-1]
		return last.Action == action
	})
	return last
}

// assertFencingTokensIncrease checks that an engine never got an older order after a
// newer one.
func assertFencingTokensIncrease(t *testing.T, given []receivedOrder) {
	t.Helper()
	for n := 1; n < len(given); n++ {
		is.New(t).True(given[n].FencingToken > given[n-1].FencingToken)
	}
}

// readLease returns the lease on the orders of a pool.
func (f *fleet) readLease(pool string) orders.Lease {
	var lease orders.Lease
	f.getJSON(f.platformURL()+"/v1/objects/leases%2F"+pool, &lease)
	return lease
}

func TestOrdersHaveOneHolder(t *testing.T) {
	t.Parallel()
	for _, mode := range []tables.FencingMode{tables.FencingChecked, tables.FencingIgnored} {
		t.Run(string(mode), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 2, func(f *fleet) { f.pools.Pools[0].Fencing = mode })
			f.awaitOrder(".30", "load small@v1")
			f.awaitOrder(".31", "load small@v1")
			f.await("the lease is released", func() bool { return f.readLease(poolSmallV1).Released })
			f.takeOverFromPausedHolder(t)
			assertFencingTokensIncrease(t, f.receivedOrders(".30"))
			assertFencingTokensIncrease(t, f.receivedOrders(".31"))
		})
	}
}

// takeOverFromPausedHolder pauses the holder of the lease while an order is under way,
// and lets it go on after another holder has given the orders.
func (f *fleet) takeOverFromPausedHolder(t *testing.T) {
	t.Helper()
	f.put(f.engineURL(".30")+"/admin/faults", `{"silent_orders":true}`)
	f.pools.Pools[0].Withdrawn = true
	f.apply()
	var holder *instance
	f.await("an instance holds the lease", func() bool {
		lease := f.readLease(poolSmallV1)
		if lease.Released {
			return false
		}
		for _, i := range f.instances {
			if strings.HasPrefix(lease.Holder, string(i.settings.Instance)+"@") {
				holder = i
			}
		}
		return holder != nil
	})
	holder.pause()
	before := f.readLease(poolSmallV1).Fence
	f.put(f.engineURL(".30")+"/admin/faults", `{}`)
	taken := f.awaitOrder(".30", "unload")
	is.New(t).True(taken.FencingToken > before)
	f.awaitOrder(".31", "unload")
	holder.resume()
	f.awaitGeneration(2, f.instances...)
	f.await("the lease is released", func() bool { return f.readLease(poolSmallV1).Released })
}
