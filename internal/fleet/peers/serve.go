package peers

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"mimosayard/internal/core/aggregates"
	"mimosayard/internal/core/membership"
	"mimosayard/internal/core/rollouts"
	"mimosayard/internal/core/tables"
)

// recordValues records the values of a message as sent.
func (s *sentState) recordValues(message *exchange) {
	if message.Full || s.values == nil {
		s.values = aggregates.Values{}
	}
	for key, value := range unpackValues(message.Keys, message.Values) {
		if value == 0 {
			delete(s.values, key)
			continue
		}
		s.values[key] = value
	}
}

// composeExchange returns a message with the changes that are not yet sent, and
// records them as sent. Messages outside the tree carry a digest of the member
// records in place of the changed records. The caller holds the mutex.
func (n *Node) composeExchange(sent *sentState, fromChild, inTree bool) *exchange {
	n.sequence++
	message := &exchange{
		Protocol:         protocolVersion,
		From:             n.view.Self(),
		FromChild:        fromChild,
		Generation:       n.generation(),
		Sequence:         n.sequence,
		DocumentVersions: n.Documents.versions(),
	}
	if sent.selfSent {
		self := n.view.Self()
		message.From = membership.Member{ID: self.ID, Epoch: self.Epoch}
	}
	sent.selfSent = true
	if inTree {
		message.Members, sent.membersVersion = n.view.ChangesSince(sent.membersVersion)
	} else {
		message.Digest = n.view.Digest()
	}
	if sent.progress == nil {
		sent.progress = map[tables.PoolID]rollouts.Progress{}
	}
	for _, progress := range n.progress() {
		if sent.progress[progress.Pool] != progress {
			sent.progress[progress.Pool] = progress
			message.Progress = append(message.Progress, progress)
		}
	}
	return message
}

// serveConfig returns the configuration in force.
func (n *Node) serveConfig(context.Context, *emptyMessage) (*configMessage, error) {
	return &configMessage{Config: n.EncodedConfig()}, nil
}

// serveExchange merges a peer's changes and returns this instance's changes.
func (n *Node) serveExchange(_ context.Context, message *exchange) (*exchange, error) {
	if message.Protocol < protocolVersion-1 || message.Protocol > protocolVersion+1 {
		return nil, trace.BadParameter("peer protocol %d is not understood", message.Protocol)
	}
	now := time.Now()
	n.mutex.Lock()
	state, err := n.acceptCaller(message)
	if err != nil {
		n.mutex.Unlock()
		return nil, trace.Wrap(err)
	}
	state.lastHeard = now
	answer := n.answerCaller(now, state, message)
	n.mutex.Unlock()
	n.mergeUpdates(message)
	return answer, nil
}

// serveHoldBills keeps copies of the caller's bills.
func (n *Node) serveHoldBills(_ context.Context, message *holdBillsMessage) (*emptyMessage, error) {
	n.StoreBillCopies(message.Epoch, message.Bills, message.Account)
	return &emptyMessage{}, nil
}

// serveOfferConfig receives the caller's configuration, of which the generation
// is higher than the local one.
func (n *Node) serveOfferConfig(_ context.Context, message *configMessage) (*emptyMessage, error) {
	n.ApplyConfig(message.Config)
	return &emptyMessage{}, nil
}

// answerCaller applies the values of a request and composes the response. The
// caller of this method holds the mutex.
func (n *Node) answerCaller(now time.Time, state *callerState, message *exchange) *exchange {
	id := string(message.From.ID)
	switch {
	case message.Leave:
		delete(n.children, message.From.ID)
		n.tree.RemoveChild(id)
	case message.FromChild:
		n.tree.UpdateChild(now, id, unpackValues(message.Keys, message.Values), message.Full)
	}
	if message.Full || !message.FromChild {
		state.sent = sentState{}
	}
	answer := n.composeExchange(&state.sent, false, message.FromChild)
	if message.FromChild {
		totals := n.tree.Total(now)
		answer.Full = message.Full
		answer.Keys, answer.Values = packValues(aggregates.Delta(totals, state.sent.values, totals, n.inexactValueLimit()))
		state.sent.recordValues(answer)
		return answer
	}
	if message.Digest != answer.Digest {
		answer.Members, _ = n.view.ChangesSince(0)
	}
	return answer
}

// acceptCaller returns the state of the sender of a request. It returns an
// error for a replayed message, and for changes from a child without state. The
// caller of this method holds the mutex.
func (n *Node) acceptCaller(message *exchange) (*callerState, error) {
	id := message.From.ID
	callers := n.children
	if !message.FromChild {
		callers = n.gossipCallers
	}
	state := callers[id]
	if state == nil && message.FromChild && !message.Full && !message.Leave {
		// The child was removed after the failure timeout, so changes alone are
		// not enough. The error makes the child open a new connection, which starts
		// with all values.
		return nil, trace.NotFound("%s is not known as a child; all values are wanted", id)
	}
	if state == nil || message.From.Epoch > state.epoch {
		state = &callerState{epoch: message.From.Epoch}
		callers[id] = state
	}
	if message.From.Epoch < state.epoch || message.Sequence <= state.sequence {
		return nil, trace.AccessDenied("peer message of %s is out of sequence", id)
	}
	state.sequence = message.Sequence
	return state, nil
}

// mergeUpdates merges the member records of a message into the view, reports
// members that are newly down, and passes on the rollout progress.
func (n *Node) mergeUpdates(message *exchange) {
	var down []membership.Member
	n.mutex.Lock()
	records := message.Members
	if message.From.Address != "" {
		records = append(records, message.From)
	}
	for _, member := range records {
		if n.view.Merge(member) && member.State == membership.Down && member.ID != n.Self.ID {
			down = append(down, member)
		}
	}
	n.mutex.Unlock()
	n.notifyDown(down)
	if len(message.Progress) > 0 {
		n.MergeProgress(message.Progress)
	}
}
