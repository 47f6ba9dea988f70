package sessions

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosayard/internal/core/tables"
)

var start = time.Unix(1_700_000_000, 0)

// newKeyRing returns a ring of keys with the given IDs, newest first.
func newKeyRing(ids ...uint32) *KeyRing {
	keyRing := &KeyRing{}
	for _, id := range ids {
		keyRing.Keys = append(keyRing.Keys, tables.SessionKey{ID: id, Secret: []byte{byte(id), 2, 3, 4}})
	}
	return keyRing
}

func newSession() Session {
	return Session{ID: "s", Team: "t", Service: "v", Class: "c", Pools: []tables.PoolID{"a", "b"}, Started: start.Unix()}
}

// TestTokens guards against accepting a token that is changed, expired, from
// the future or signed with an unknown key, and against refusing one that is
// signed with an older key of the ring.
func TestTokens(t *testing.T) {
	token, err := newKeyRing(1).Sign(newSession())
	if err != nil {
		t.Fatal(err)
	}
	t.Run("token verifies to its session", func(t *testing.T) {
		is := is.New(t)
		session, err := newKeyRing(1).Verify(start, token)
		is.NoErr(err)
		is.Equal(session, newSession())
	})
	t.Run("token of a rotated key verifies", func(t *testing.T) {
		_, err := newKeyRing(2, 1).Verify(start, token)
		is.New(t).NoErr(err)
	})
	expectRefused := func(name string, keyRing *KeyRing, now time.Time, token string) {
		t.Run(name, func(t *testing.T) {
			_, err := keyRing.Verify(now, token)
			is.New(t).True(err != nil)
		})
	}
	expectRefused("unknown key is refused", newKeyRing(2), start, token)
	expectRefused("old token is refused", newKeyRing(1), start.Add(MaxAge+time.Hour), token)
	expectRefused("token from the future is refused", newKeyRing(1), start.Add(-time.Hour), token)
	forged := []byte(token)
	forged[len(forged)/2] ^= 1
	expectRefused("changed token is refused", newKeyRing(1), start, string(forged))
	expectRefused("empty token is refused", newKeyRing(1), start, "")
}

// FuzzVerify guards against accepting a forged token, and against a panic on
// malformed input.
func FuzzVerify(f *testing.F) {
	token, err := newKeyRing(1).Sign(newSession())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(token)
	f.Add("")
	f.Fuzz(func(t *testing.T, text string) {
		session, err := newKeyRing(1).Verify(start, text)
		if err == nil && session.Team != "t" {
			t.Fatalf("forged token was accepted: %q", text)
		}
	})
}
