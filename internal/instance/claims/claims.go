// Package claims takes idempotency keys by conditional updates of objects in
// the platform's store.
package claims

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

// A Keeper takes keys. It is safe for concurrent use.
type Keeper struct {
	Objects *objects.Client
	Log     *zap.Logger
}

// claimValue is the object of an idempotency key.
type claimRecord struct {
	RequestID   string `json:"request_id"`
	Fingerprint uint64 `json:"fingerprint"`
	// Taken is in Unix milliseconds.
	TakenMs int64 `json:"taken_ms"`
	// Free says that the request did not run, so that the key may be used.
	Released bool          `json:"free,omitempty"`
	Answer   *storedAnswer `json:"answer,omitempty"`
}

type storedAnswer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
}

const (
	claimsPrefix objects.Key = "claims/"
	// maxClaimAnswer bounds the answers kept for later requests.
	maxStoredAnswerBytes = 64 << 10
	updateTimeout        = 2 * time.Second
)

// Claim takes an idempotency key by creating its object. Only one request of
// the fleet can create it. If the store's answer is lost the object is read
// back, and tells whether this request was the one.
func (k *Keeper) Claim(ctx context.Context, request callers.ClaimRequest) (callers.Claim, error) {
	own := claimRecord{RequestID: request.RequestID, Fingerprint: request.Fingerprint, TakenMs: time.Now().UnixMilli()}
	key := objectKey(request)
	var current claimRecord
	claimIfFree := func(value []byte) ([]byte, error) {
		current = claimRecord{}
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
	_, err := k.Objects.Update(ctx, key, claimIfFree)
	if err != nil {
		_, err = k.Objects.Update(ctx, key, claimIfFree)
	}
	if err != nil {
		return callers.Claim{}, trace.Wrap(err)
	}
	if current.RequestID == own.RequestID {
		return k.ownedClaim(key, own), nil
	}
	return callers.Claim{
		AlreadyTaken:     true,
		DifferentRequest: current.Fingerprint != own.Fingerprint,
		Answer:           current.Answer.plainResponse(),
	}, nil
}

func (k *Keeper) ownedClaim(key objects.Key, own claimRecord) callers.Claim {
	update := func(change func(*claimRecord)) error {
		ctx, cancel := context.WithTimeout(context.Background(), updateTimeout)
		defer cancel()
		_, err := k.Objects.Update(ctx, key, func([]byte) ([]byte, error) {
			updated := own
			change(&updated)
			return json.Marshal(updated)
		})
		return trace.Wrap(err)
	}
	return callers.Claim{
		StoreAnswer: func(answer upstreams.PlainResponse) {
			if len(answer.Body) > maxStoredAnswerBytes {
				return
			}
			_ = update(func(record *claimRecord) {
				record.Answer = &storedAnswer{answer.Status, answer.Header.Get("Content-Type"), answer.Body}
			})
		},
		Release: func() {
			if err := update(func(record *claimRecord) { record.Released = true }); err != nil {
				events.ClaimNotFreed.Log(k.Log, zap.Error(err))
			}
		},
	}
}

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

func objectKey(request callers.ClaimRequest) objects.Key {
	identity := fmt.Sprintf("%q %q %q", request.Team, request.Service, request.Key)
	return claimsPrefix + objects.Key(fmt.Sprintf("%016x%016x", xxhash.Sum64String(identity), xxhash.Sum64String("2"+identity)))
}
