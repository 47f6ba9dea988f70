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

// apply notes the values of a message as told.
func (l *linkState) apply(message *exchange) {
	if message.Full || l.values == nil {
		l.values = aggregates.Values{}
	}
	for key, value := range unpackValues(message.Keys, message.Values) {
		if value == 0 {
			delete(l.values, key)
			continue
		}
		l.values[key] = value
	}
}

// compose returns a message with what the link has not been told yet. Links
// outside the tree tell a digest in place of the member records. The caller
// holds the mutex.
func (n *Node) compose(link *linkState, child, tree bool) *exchange {
	n.sequence++
	message := &exchange{
		Protocol:   protocolVersion,
		From:       n.view.Self(),
		Child:      child,
		Generation: n.generation(),
		Sequence:   n.sequence,
		Documents:  n.Documents.marks(),
	}
	if link.introduced {
		self := n.view.Self()
		message.From = membership.Member{ID: self.ID, Epoch: self.Epoch}
	}
	link.introduced = true
	if tree {
		message.Members, link.members = n.view.ChangesSince(link.members)
	} else {
		message.Digest = n.view.Digest()
	}
	if link.progress == nil {
		link.progress = map[tables.PoolID]rollouts.Progress{}
	}
	for _, progress := range n.progress() {
		if link.progress[progress.Pool] != progress {
			link.progress[progress.Pool] = progress
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
	state, err := n.callerState(message)
	if err != nil {
		n.mutex.Unlock()
		return nil, trace.Wrap(err)
	}
	state.heard = now
	answer := n.answerCaller(now, state, message)
	n.mutex.Unlock()
	n.takeNews(message)
	return answer, nil
}

func (n *Node) serveHold(_ context.Context, message *holdMessage) (*emptyMessage, error) {
	n.TakeBills(message.Epoch, message.Bills, message.Account)
	return &emptyMessage{}, nil
}

func (n *Node) serveOffer(_ context.Context, message *configMessage) (*emptyMessage, error) {
	n.TakeConfig(message.Config)
	return &emptyMessage{}, nil
}

// answerCaller takes the values of a caller and composes the answer. The
// caller holds the mutex.
func (n *Node) answerCaller(now time.Time, state *childState, message *exchange) *exchange {
	id := string(message.From.ID)
	switch {
	case message.Leave:
		delete(n.children, message.From.ID)
		n.tree.RemoveChild(id)
	case message.Child:
		n.tree.UpdateChild(now, id, unpackValues(message.Keys, message.Values), message.Full)
	}
	if message.Full || !message.Child {
		state.sent = linkState{}
	}
	answer := n.compose(&state.sent, false, message.Child)
	if message.Child {
		totals := n.tree.Total(now)
		answer.Full = message.Full
		answer.Keys, answer.Values = packValues(aggregates.Delta(totals, state.sent.values, totals, n.valueLimit()))
		state.sent.apply(answer)
		return answer
	}
	if message.Digest != answer.Digest {
		answer.Members, _ = n.view.ChangesSince(0)
	}
	return answer
}

// callerState returns the state of the caller and refuses a message that was
// played back. The caller holds the mutex.
func (n *Node) callerState(message *exchange) (*childState, error) {
	id := message.From.ID
	callers := n.children
	if !message.Child {
		callers = n.visitors
	}
	state := callers[id]
	if state == nil && message.Child && !message.Full && !message.Leave {
		// The child was forgotten over its silence, so changes do not help. Its
		// next connection starts with all values.
		return nil, trace.NotFound("%s is not known as a child; all values are wanted", id)
	}
	if state == nil || message.From.Epoch > state.epoch {
		state = &childState{epoch: message.From.Epoch}
		callers[id] = state
	}
	if message.From.Epoch < state.epoch || message.Sequence <= state.sequence {
		return nil, trace.AccessDenied("peer message of %s is out of sequence", id)
	}
	state.sequence = message.Sequence
	return state, nil
}

// takeNews takes members and progress from a message.
func (n *Node) takeNews(message *exchange) {
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
	n.tellDown(down)
	if len(message.Progress) > 0 {
		n.TakeProgress(message.Progress)
	}
}
