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

// recordValues notes the values of a message as told.
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

// compose returns a message with what the link has not been told yet. Links
// outside the tree tell a digest in place of the member records. The caller
// holds the mutex.
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

func (n *Node) serveConfig(context.Context, *emptyMessage) (*configMessage, error) {
	return &configMessage{Config: n.Config()}, nil
}

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

func (n *Node) serveHoldBills(_ context.Context, message *holdBillsMessage) (*emptyMessage, error) {
	n.TakeBills(message.Epoch, message.Bills, message.Account)
	return &emptyMessage{}, nil
}

func (n *Node) serveOfferConfig(_ context.Context, message *configMessage) (*emptyMessage, error) {
	n.TakeConfig(message.Config)
	return &emptyMessage{}, nil
}

// answerCaller takes the values of a caller and composes the answer. The
// caller holds the mutex.
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

// acceptCaller returns the state of the caller and refuses a message that was
// played back. The caller holds the mutex.
func (n *Node) acceptCaller(message *exchange) (*callerState, error) {
	id := message.From.ID
	callers := n.children
	if !message.FromChild {
		callers = n.gossipCallers
	}
	state := callers[id]
	if state == nil && message.FromChild && !message.Full && !message.Leave {
		// The child was forgotten over its silence, so changes do not help. Its
		// next connection starts with all values.
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

// mergeUpdates takes members and progress from a message.
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
		n.TakeProgress(message.Progress)
	}
}
