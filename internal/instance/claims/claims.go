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
type claimValue struct {
	RequestID   string `json:"request_id"`
	Fingerprint uint64 `json:"fingerprint"`
	// Taken is in Unix milliseconds.
	Taken int64 `json:"taken_ms"`
	// Free says that the request did not run, so that the key may be used.
	Free   bool         `json:"free,omitempty"`
	Answer *claimAnswer `json:"answer,omitempty"`
}

type claimAnswer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
}

const (
	claimsPrefix objects.Key = "claims/"
	// maxClaimAnswer bounds the answers kept for later requests.
	maxClaimAnswer = 64 << 10
	claimTimeout   = 2 * time.Second
)

// Claim takes an idempotency key by creating its object. Only one request of
// the fleet can create it. If the store's answer is lost the object is read
// back, and tells whether this request was the one.
func (k *Keeper) Claim(ctx context.Context, request callers.ClaimRequest) (callers.Claim, error) {
	mine := claimValue{RequestID: request.RequestID, Fingerprint: request.Fingerprint, Taken: time.Now().UnixMilli()}
	key := claimKey(request)
	var found claimValue
	take := func(value []byte) ([]byte, error) {
		found = claimValue{}
		if len(value) > 0 {
			if err := json.Unmarshal(value, &found); err != nil {
				return nil, trace.Wrap(err)
			}
			if !found.Free || found.RequestID == mine.RequestID {
				return nil, nil
			}
		}
		found = mine
		return json.Marshal(mine)
	}
	_, err := k.Objects.Update(ctx, key, take)
	if err != nil {
		_, err = k.Objects.Update(ctx, key, take)
	}
	if err != nil {
		return callers.Claim{}, trace.Wrap(err)
	}
	if found.RequestID == mine.RequestID {
		return k.own(key, mine), nil
	}
	return callers.Claim{
		AlreadyTaken:     true,
		DifferentRequest: found.Fingerprint != mine.Fingerprint,
		Answer:           found.Answer.plain(),
	}, nil
}

func (k *Keeper) own(key objects.Key, mine claimValue) callers.Claim {
	write := func(change func(*claimValue)) error {
		ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
		defer cancel()
		_, err := k.Objects.Update(ctx, key, func([]byte) ([]byte, error) {
			next := mine
			change(&next)
			return json.Marshal(next)
		})
		return trace.Wrap(err)
	}
	return callers.Claim{
		StoreAnswer: func(answer upstreams.PlainResponse) {
			if len(answer.Body) > maxClaimAnswer {
				return
			}
			_ = write(func(value *claimValue) {
				value.Answer = &claimAnswer{answer.Status, answer.Header.Get("Content-Type"), answer.Body}
			})
		},
		Release: func() {
			if err := write(func(value *claimValue) { value.Free = true }); err != nil {
				events.ClaimNotFreed.Log(k.Log, zap.Error(err))
			}
		},
	}
}

func (a *claimAnswer) plain() *upstreams.PlainResponse {
	if a == nil {
		return nil
	}
	answer := &upstreams.PlainResponse{Status: a.Status, Header: map[string][]string{}, Body: a.Body}
	if a.ContentType != "" {
		answer.Header.Set("Content-Type", a.ContentType)
	}
	return answer
}

func claimKey(request callers.ClaimRequest) objects.Key {
	name := fmt.Sprintf("%q %q %q", request.Team, request.Service, request.Key)
	return claimsPrefix + objects.Key(fmt.Sprintf("%016x%016x", xxhash.Sum64String(name), xxhash.Sum64String("2"+name)))
}
