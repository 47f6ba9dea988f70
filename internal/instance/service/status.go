package service

import (
	"mimosayard/internal/core/membership"
	"mimosayard/internal/core/rollouts"
	"mimosayard/internal/core/tables"
	"mimosayard/internal/fleet/peers"
	"mimosayard/internal/platform/objects"
)

// A Status is the state of an instance as reported to operators.
type Status struct {
	Instance       tables.InstanceID   `json:"instance"`
	DataCenter     tables.DataCenterID `json:"data_center"`
	Epoch          string              `json:"epoch"`
	Ready          bool                `json:"ready"`
	Generation     uint64              `json:"generation"`
	RoutesRevision uint64              `json:"routes_revision"`
	PoolsRevision  uint64              `json:"pools_revision"`
	InFlight       int64               `json:"in_flight"`
	// UnsettledBills is the number of the instance's unsettled bills.
	UnsettledBills int `json:"bills_open"`
	// PeerBillCopies is the number of stored copies of peers' bills.
	PeerBillCopies int `json:"bills_held"`
	// LeavingUpstreams is the number of upstreams that are leaving according to
	// the platform's directory.
	LeavingUpstreams int            `json:"leaving_upstreams"`
	Members          []MemberStatus `json:"members"`
	// LinksLost is true while the instance reaches upstreams through peers only.
	LinksLost bool `json:"links_lost"`
	// Relays is the number of connections that the instance relays for peers.
	Relays int64 `json:"relays"`
	// RolloutProgress holds the rollout progress of the pools.
	RolloutProgress []rollouts.Progress `json:"versions"`
	StoreCalls      objects.CallCounts  `json:"store_calls"`
	PeerTraffic     peers.Stats         `json:"peer_traffic"`
}

// A MemberStatus describes a member of the fleet that is not down.
type MemberStatus struct {
	Instance   tables.InstanceID   `json:"instance"`
	DataCenter tables.DataCenterID `json:"data_center"`
	Address    string              `json:"address"`
	Leaving    bool                `json:"leaving"`
}

// status returns the present Status.
func (i *Instance) status() any {
	open, held := i.bills.Counts()
	status := Status{
		Instance:         i.settings.Instance,
		DataCenter:       i.settings.DataCenter,
		Epoch:            string(i.epoch),
		Ready:            i.checkReady() == nil,
		Generation:       i.router.Generation(),
		InFlight:         i.callers.InFlight(),
		UnsettledBills:   open,
		PeerBillCopies:   held,
		LeavingUpstreams: i.router.LeavingCount(),
		Members:          []MemberStatus{},
		LinksLost:        i.dialer.Links.AllLost(),
		Relays:           i.node.Relays(),
		RolloutProgress:  i.router.Progress(),
		StoreCalls:       i.objects.Counts(),
		PeerTraffic:      i.node.Stats(),
	}
	if index := i.router.Index(); index != nil {
		status.RoutesRevision = index.Config.RoutesRevision
		status.PoolsRevision = index.Config.PoolsRevision
	}
	for _, m := range i.node.Members() {
		status.Members = append(status.Members, MemberStatus{m.ID, m.DataCenter, m.Address, m.State != membership.Up})
	}
	return status
}
