// Package sessions signs and verifies the tokens that keep a session on its
// versions. A token is self-contained, so any instance that has the keys can
// use it without a lookup.
package sessions

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"mimosayard/internal/core/tables"
)

// KeyRing holds the signing keys in use. It is safe for concurrent use while
// Keys does not change.
type KeyRing struct {
	// Keys is ordered newest first. The first key signs, and each of them
	// verifies, so that tokens stay valid when a new key is added.
	Keys []tables.SessionKey
}

// Session is the content of a token.
type Session struct {
	// ID is the same for all turns of the session.
	ID      string           `cbor:"1,keyasint"`
	Team    tables.TeamID    `cbor:"2,keyasint"`
	Service tables.ServiceID `cbor:"3,keyasint"`
	Class   tables.ClassID   `cbor:"4,keyasint"`
	// Pools holds the pool of each stage of the route, as pinned on the first
	// turn.
	Pools []tables.PoolID `cbor:"5,keyasint"`
	// Started is when the session started, in Unix seconds.
	Started int64 `cbor:"6,keyasint"`
}

// signedToken is the encoded form of a token. Its payload is an encoded
// Session.
type signedToken struct {
	KeyID   uint32 `cbor:"1,keyasint"`
	Payload []byte `cbor:"2,keyasint"`
	MAC     []byte `cbor:"3,keyasint"`
}

// MaxAge is the maximum duration of a session.
const MaxAge = 24 * time.Hour

// MaxTokenBytes is the maximum size of an encoded token that Verify accepts.
const MaxTokenBytes = 2048

const (
	// clockSkew is the accepted difference between the clocks of instances.
	clockSkew = time.Minute
	// macBytes is the size of the truncated HMAC-SHA256.
	macBytes = 16
)

// Verify verifies a token and returns its session. It returns a BadParameter
// error for a token that is malformed, expired, or not signed with one of the
// keys.
func (k *KeyRing) Verify(now time.Time, token string) (Session, error) {
	if len(token) > MaxTokenBytes {
		return Session{}, trace.BadParameter("session token is over %d bytes", MaxTokenBytes)
	}
	raw, err := base64.RawURLEncoding.DecodeString(strings.TrimSpace(token))
	if err != nil {
		return Session{}, trace.BadParameter("session token is not base64url")
	}
	var signed signedToken
	if err := cbor.Unmarshal(raw, &signed); err != nil {
		return Session{}, trace.BadParameter("session token is malformed")
	}
	keyIndex := slices.IndexFunc(k.Keys, func(k tables.SessionKey) bool { return k.ID == signed.KeyID })
	if keyIndex < 0 {
		return Session{}, trace.BadParameter("session token is signed with an unknown key")
	}
	if !hmac.Equal(signed.MAC, computeMAC(k.Keys[keyIndex], signed.Payload)) {
		return Session{}, trace.BadParameter("session token has a wrong signature")
	}
	var session Session
	if err := cbor.Unmarshal(signed.Payload, &session); err != nil {
		return Session{}, trace.BadParameter("session token is malformed")
	}
	age := now.Sub(time.Unix(session.Started, 0))
	if age > MaxAge || age < -clockSkew {
		return Session{}, trace.BadParameter("session token has expired")
	}
	return session, nil
}

// Sign returns the signed token of a session. It returns a NotFound error if
// the ring has no key.
func (k *KeyRing) Sign(session Session) (string, error) {
	if len(k.Keys) == 0 {
		return "", trace.NotFound("no session key is known")
	}
	payload, err := cbor.Marshal(session)
	if err != nil {
		return "", trace.Wrap(err)
	}
	key := k.Keys[0]
	raw, err := cbor.Marshal(signedToken{KeyID: key.ID, Payload: payload, MAC: computeMAC(key, payload)})
	if err != nil {
		return "", trace.Wrap(err)
	}
	return base64.RawURLEncoding.EncodeToString(raw), nil
}

// computeMAC returns the truncated HMAC-SHA256 of a payload.
func computeMAC(key tables.SessionKey, payload []byte) []byte {
	mac := hmac.New(sha256.New, key.Secret)
	mac.Write(payload)
	return mac.Sum(nil)[:macBytes]
}
