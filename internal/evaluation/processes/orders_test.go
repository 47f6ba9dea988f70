package processes

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"mimosayard/internal/core/orders"
	"mimosayard/internal/core/tables"
)

// A receivedOrder is an order as an engine recorded it.
type receivedOrder struct {
	Subject      string `json:"subject"`
	Action       string `json:"action"`
	FencingToken uint64 `json:"fence"`
}

// engineURL returns the URL of the engine whose address ends with a suffix.
func (f *fleet) engineURL(hostSuffix string) string {
	return "http://" + f.subnet + hostSuffix + ":7100"
}

// receivedOrders returns the orders that an engine has received, oldest first.
func (f *fleet) receivedOrders(hostSuffix string) []receivedOrder {
	var received []receivedOrder
	f.getJSON(f.engineURL(hostSuffix)+"/admin/orders", &received)
	return received
}

// awaitOrder waits until an engine's latest order has the given action.
func (f *fleet) awaitOrder(hostSuffix, action string) receivedOrder {
	f.t.Helper()
	var latest receivedOrder
	f.await(hostSuffix+" gets the order "+action, func() bool {
		received := f.receivedOrders(hostSuffix)
		if len(received) == 0 {
			return false
		}
		latest = received[len(received)-1]
		return latest.Action == action
	})
	return latest
}

// assertFencingTokensIncrease checks that an engine has not received an older
// order after a newer one.
func assertFencingTokensIncrease(t *testing.T, received []receivedOrder) {
	t.Helper()
	for n := 1; n < len(received); n++ {
		is.New(t).True(received[n].FencingToken > received[n-1].FencingToken)
	}
}

// readLease returns the lease for sending the orders of a pool.
func (f *fleet) readLease(pool string) orders.Lease {
	var lease orders.Lease
	f.getJSON(f.platformURL()+"/v1/objects/leases%2F"+pool, &lease)
	return lease
}

// TestOnlyLeaseHolderSendsOrders guards against two instances that send orders
// about one pool at the same time. An instance that is paused while an order is
// under way loses its lease, and could send outdated orders once it is resumed.
// Whether engines check fencing tokens or ignore them, orders must arrive in the
// sequence of their tokens.
func TestOnlyLeaseHolderSendsOrders(t *testing.T) {
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

// takeOverFromPausedHolder pauses the holder of the lease while an order is
// under way, and resumes it after another holder has sent the orders.
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
	tokenBefore := f.readLease(poolSmallV1).FencingToken
	f.put(f.engineURL(".30")+"/admin/faults", `{}`)
	// An order that the holder sent before it was paused may arrive once the
	// engine answers again. The successor's order must come after it.
	var unload receivedOrder
	f.await(".30 gets the successor's order unload", func() bool {
		received := f.receivedOrders(".30")
		if len(received) == 0 {
			return false
		}
		unload = received[len(received)-1]
		return unload.Action == "unload" && unload.FencingToken > tokenBefore
	})
	is.New(t).True(unload.FencingToken > tokenBefore)
	f.awaitOrder(".31", "unload")
	holder.resume()
	f.awaitGeneration(2, f.instances...)
	f.await("the lease is released", func() bool { return f.readLease(poolSmallV1).Released })
}
