// Package idempotency records in the platform's store which request holds an
// idempotency key, and the answer to replay to later requests with the key. It
// uses conditional updates, so at most one request in the fleet holds a key.
package idempotency

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"mimosayard/internal/backend/upstreams"
	"mimosayard/internal/edge/callers"
	"mimosayard/internal/platform/objects"
	"mimosayard/internal/telemetry/events"
)

// A KeyStore acquires idempotency keys for requests. Its fields must be set
// before use. It is safe for concurrent use.
type KeyStore struct {
	Objects *objects.Client
	Log     *zap.Logger
}

// keyRecord is the stored state of an idempotency key.
type keyRecord struct {
	RequestID   string `json:"request_id"`
	Fingerprint uint64 `json:"fingerprint"`
	// TakenMs is when the request acquired the key, in Unix milliseconds.
	TakenMs int64 `json:"taken_ms"`
	// Released is true if the request did not run. Another request may then
	// acquire the key.
	Released bool `json:"free,omitempty"`
	// Answer is the answer to the request, nil until it is stored.
	Answer *storedAnswer `json:"answer,omitempty"`
}

// storedAnswer is the part of an answer that is replayed to later requests.
type storedAnswer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
}

const (
	// keyPrefix is the prefix of the keys of keyRecord objects in the store.
	keyPrefix objects.Key = "claims/"
	// maxStoredAnswerBytes is the maximum size of the body of an answer that
	// is stored for later requests.
	maxStoredAnswerBytes = 64 << 10
	// updateTimeout is the timeout for storing an answer or releasing a key.
	updateTimeout = 2 * time.Second
)

// Acquire acquires an idempotency key for a request by creating the key's
// object, or by overwriting a released one. The update is conditional, so only
// one request in the fleet succeeds. If the first update fails, for example
// because its response was lost, it is retried once: the request ID in the
// object then shows whether the first one took effect. If another request holds
// the key, the result has its answer, if stored, and Acquire returns no error.
func (s *KeyStore) Acquire(ctx context.Context, request callers.KeyRequest) (callers.KeyAcquisition, error) {
	own := keyRecord{RequestID: request.RequestID, Fingerprint: request.Fingerprint, TakenMs: time.Now().UnixMilli()}
	key := objectKey(request)
	var current keyRecord
	acquireIfFree := func(value []byte) ([]byte, error) {
		current = keyRecord{}
		if len(value) > 0 {
			if err := json.Unmarshal(value, &current); err != nil {
				return nil, trace.Wrap(err)
			}
			if !current.Released || current.RequestID == own.RequestID {
				return nil, nil
			}
		}
		current = own
		return json.Marshal(own)
	}
	_, err := s.Objects.Update(ctx, key, acquireIfFree)
	if err != nil {
		_, err = s.Objects.Update(ctx, key, acquireIfFree)
	}
	if err != nil {
		return callers.KeyAcquisition{}, trace.Wrap(err)
	}
	if current.RequestID == own.RequestID {
		return s.ownedKey(key, own), nil
	}
	return callers.KeyAcquisition{
		HeldByOtherRequest: true,
		DifferentRequest:   current.Fingerprint != own.Fingerprint,
		Answer:             current.Answer.plainResponse(),
	}, nil
}

// ownedKey returns the result of Acquire for the request that acquired the key.
// Storing the answer and releasing the key have a context of their own, so they
// are done even if the request's context has ended. An answer that is too large,
// or cannot be stored, is dropped: later requests with the key then get no
// replay. A failure to release the key is logged.
func (s *KeyStore) ownedKey(key objects.Key, own keyRecord) callers.KeyAcquisition {
	update := func(change func(*keyRecord)) error {
		ctx, cancel := context.WithTimeout(context.Background(), updateTimeout)
		defer cancel()
		_, err := s.Objects.Update(ctx, key, func([]byte) ([]byte, error) {
			updated := own
			change(&updated)
			return json.Marshal(updated)
		})
		return trace.Wrap(err)
	}
	return callers.KeyAcquisition{
		StoreAnswer: func(answer upstreams.PlainResponse) {
			if len(answer.Body) > maxStoredAnswerBytes {
				return
			}
			_ = update(func(record *keyRecord) {
				record.Answer = &storedAnswer{answer.Status, answer.Header.Get("Content-Type"), answer.Body}
			})
		},
		Release: func() {
			if err := update(func(record *keyRecord) { record.Released = true }); err != nil {
				events.IdempotencyKeyNotReleased.Log(s.Log, zap.Error(err))
			}
		},
	}
}

// plainResponse returns the stored answer as a response, nil for a nil answer.
func (a *storedAnswer) plainResponse() *upstreams.PlainResponse {
	if a == nil {
		return nil
	}
	answer := &upstreams.PlainResponse{Status: a.Status, Header: map[string][]string{}, Body: a.Body}
	if a.ContentType != "" {
		answer.Header.Set("Content-Type", a.ContentType)
	}
	return answer
}

// objectKey returns the object's key for a team, a service and an idempotency
// key. It ends with a hash of 128 bits, made of two hashes of 64 bits.
func objectKey(request callers.KeyRequest) objects.Key {
	identity := fmt.Sprintf("%q %q %q", request.Team, request.Service, request.Key)
	return keyPrefix + objects.Key(fmt.Sprintf("%016x%016x", xxhash.Sum64String(identity), xxhash.Sum64String("2"+identity)))
}
