package peers

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"math"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
	"storj.io/drpc"

	"mimosayard/internal/core/aggregates"
	"mimosayard/internal/core/billing"
	"mimosayard/internal/core/membership"
	"mimosayard/internal/core/rollouts"
)

// exchange is both the request and the response of the Exchange call, which an
// instance makes to its parent on every tick and to random members for gossip.
type exchange struct {
	// Protocol is the sender's protocol version. A new version only adds fields,
	// so versions that differ by one are compatible.
	Protocol int               `cbor:"1,keyasint"`
	From     membership.Member `cbor:"2,keyasint"`
	// FromChild reports that the receiver is the sender's parent.
	FromChild bool `cbor:"3,keyasint,omitempty"`
	// Full reports that the values replace all values sent before. Otherwise
	// they are changes.
	Full   bool      `cbor:"4,keyasint,omitempty"`
	Keys   []uint64  `cbor:"5,keyasint,omitempty"`
	Values []float64 `cbor:"6,keyasint,omitempty"`
	// Members are the records changed since the last message, or all records.
	Members    []membership.Member `cbor:"7,keyasint,omitempty"`
	Generation uint64              `cbor:"8,keyasint,omitempty"`
	Progress   []rollouts.Progress `cbor:"9,keyasint,omitempty"`
	// Leave reports that the receiver is no longer the sender's parent.
	Leave bool `cbor:"10,keyasint,omitempty"`
	// Sequence increases with each message of a process, which protects against
	// replayed messages.
	Sequence uint64 `cbor:"11,keyasint,omitempty"`
	// Digest is the hash of the sender's member records. Messages outside the
	// tree carry it, so that records are sent only if the digests differ.
	Digest uint64 `cbor:"12,keyasint,omitempty"`
	// DocumentVersions are the versions of the sender's documents by name.
	DocumentVersions map[string]DocumentVersion `cbor:"13,keyasint,omitempty"`
}

// configMessage carries an encoded configuration.
type configMessage struct {
	Config []byte `cbor:"1,keyasint"`
}

// holdBillsMessage asks a peer to keep copies of bills until they are settled.
type holdBillsMessage struct {
	Epoch billing.Epoch  `cbor:"1,keyasint"`
	Bills []billing.Bill `cbor:"2,keyasint,omitempty"`
	// Account identifies the settled bills, whose copies can be dropped.
	Account billing.Account `cbor:"3,keyasint"`
}

type emptyMessage struct{}

// macEncoding is the codec of all calls: a message authentication code under
// the fleet's key, followed by the message in CBOR. It does not encrypt.
type macEncoding struct {
	key func() []byte
}

// rpcDescription describes the calls that an instance serves.
type rpcDescription struct {
	encoding macEncoding
}

const (
	protocolVersion = 1
	// macBytes is the length of the truncated HMAC-SHA256 before each message.
	macBytes = 16

	rpcExchange    = "/mimosayard.Peers/Exchange"
	rpcConfig      = "/mimosayard.Peers/Config"
	rpcOfferConfig = "/mimosayard.Peers/Offer"
	rpcHoldBills   = "/mimosayard.Peers/Hold"

	rpcDocument      = "/mimosayard.Peers/Document"
	rpcOfferDocument = "/mimosayard.Peers/OfferDocument"

	rpcRelay = "/mimosayard.Peers/Relay"
)

// encodeMode encodes floats in the shortest form that keeps their value.
var encodeMode = mustEncodeMode()

// Marshal encodes a message and prepends its authentication code.
func (e macEncoding) Marshal(message drpc.Message) ([]byte, error) {
	payload, err := encodeMode.Marshal(message)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return append(e.computeMAC(payload), payload...), nil
}

// Method implements drpc.Description.
func (d rpcDescription) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	switch n {
	case 0:
		return rpcExchange, d.encoding, receiver((*Node).serveExchange), (*Node).serveExchange, true
	case 1:
		return rpcConfig, d.encoding, receiver((*Node).serveConfig), (*Node).serveConfig, true
	case 2:
		return rpcOfferConfig, d.encoding, receiver((*Node).serveOfferConfig), (*Node).serveOfferConfig, true
	case 3:
		return rpcHoldBills, d.encoding, receiver((*Node).serveHoldBills), (*Node).serveHoldBills, true
	case 4:
		return rpcDocument, d.encoding, receiver((*Node).serveDocument), (*Node).serveDocument, true
	case 5:
		return rpcOfferDocument, d.encoding, receiver((*Node).serveOfferDocument), (*Node).serveOfferDocument, true
	case 6:
		return rpcRelay, d.encoding, relayReceiver(), (*Node).serveRelay, true
	}
	return "", nil, nil, nil, false
}

// NumMethods implements drpc.Description.
func (d rpcDescription) NumMethods() int {
	return 7
}

// Unmarshal verifies the authentication code of a message and decodes it.
func (e macEncoding) Unmarshal(data []byte, message drpc.Message) error {
	if len(data) < macBytes {
		return trace.BadParameter("peer message is too short")
	}
	payload := data[macBytes:]
	if !hmac.Equal(data[:macBytes], e.computeMAC(payload)) {
		return trace.AccessDenied("peer message has a wrong authentication code")
	}
	return trace.Wrap(cbor.Unmarshal(payload, message))
}

func (e macEncoding) computeMAC(payload []byte) []byte {
	mac := hmac.New(sha256.New, e.key())
	mac.Write(payload)
	return mac.Sum(nil)[:macBytes]
}

func mustEncodeMode() cbor.EncMode {
	mode, err := cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// packValues returns the keys in the order of Values.Keys and their values.
// Values that are not whole numbers are rounded to float32, which shortens
// their encoding.
func packValues(values aggregates.Values) ([]uint64, []float64) {
	keys := make([]uint64, 0, len(values))
	numbers := make([]float64, 0, len(values))
	for _, key := range values.Keys() {
		value := values[key]
		if value != math.Trunc(value) {
			value = float64(float32(value))
		}
		keys = append(keys, uint64(key))
		numbers = append(numbers, value)
	}
	return keys, numbers
}

// unpackValues is the inverse of packValues. If the lengths differ, the surplus
// of the longer slice is ignored.
func unpackValues(keys []uint64, numbers []float64) aggregates.Values {
	values := make(aggregates.Values, len(keys))
	for i := range min(len(keys), len(numbers)) {
		values[aggregates.Key(keys[i])] = numbers[i]
	}
	return values
}

// relayReceiver adapts Node.serveRelay to a drpc.Receiver.
func relayReceiver() drpc.Receiver {
	return func(srv any, _ context.Context, in, _ any) (drpc.Message, error) {
		node, ok := srv.(*Node)
		if !ok {
			return nil, trace.BadParameter("unexpected server type %T", srv)
		}
		stream, ok := in.(drpc.Stream)
		if !ok {
			return nil, trace.BadParameter("unexpected stream type %T", in)
		}
		return nil, node.serveRelay(stream)
	}
}

// receiver adapts a method of Node to a drpc.Receiver.
func receiver[I, O any](method func(*Node, context.Context, *I) (*O, error)) drpc.Receiver {
	return func(srv any, ctx context.Context, in, _ any) (drpc.Message, error) {
		node, ok := srv.(*Node)
		if !ok {
			return nil, trace.BadParameter("unexpected server type %T", srv)
		}
		message, ok := in.(*I)
		if !ok {
			return nil, trace.BadParameter("unexpected message type %T", in)
		}
		return method(node, ctx, message)
	}
}
