package dispatch

import (
	"time"

	"mimosayard/internal/core/aggregates"
	"mimosayard/internal/core/releases"
	"mimosayard/internal/core/tables"
)

// sessionTable records the version of a service on which each session last ran.
type sessionTable struct {
	versions map[sessionID]sessionEntry
	sweptAt  time.Time
}

// sessionID identifies a session on a service.
type sessionID struct {
	service tables.ServiceID
	session string
}

// sessionEntry is the version on which a session last ran, and when.
type sessionEntry struct {
	version tables.VersionID
	// lastSeen is when a request of the session last began or ended.
	lastSeen time.Time
}

// maxSessions bounds the memory used for sessions.
const maxSessions = 50000

// get returns the version on which the session last ran, and false if that was
// longer ago than ttl.
func (t *sessionTable) get(now time.Time, service tables.ServiceID, session string, ttl time.Duration) (tables.VersionID, bool) {
	entry, ok := t.versions[sessionID{service, session}]
	if !ok || now.Sub(entry.lastSeen) > ttl {
		return "", false
	}
	return entry.version, true
}

// put records the version of a session, unless the table holds maxSessions that
// were seen within ttl.
func (t *sessionTable) put(now time.Time, service tables.ServiceID, session string, version tables.VersionID, ttl time.Duration) {
	if now.Sub(t.sweptAt) > ttl || len(t.versions) >= maxSessions {
		t.sweptAt = now
		for key, entry := range t.versions {
			if now.Sub(entry.lastSeen) > ttl {
				delete(t.versions, key)
			}
		}
	}
	if len(t.versions) < maxSessions {
		t.versions[sessionID{service, session}] = sessionEntry{version: version, lastSeen: now}
	}
}

// visitSelectableSessions calls visit for each session that may be selected for
// the target of a rollout. Other instances need the versions of these sessions,
// so that a session keeps its version when it moves between instances.
func (d *Dispatcher) visitSelectableSessions(now time.Time, visit func(key aggregates.Key)) {
	for id, entry := range d.sessions.versions {
		s := d.services[id.service]
		if s == nil || now.Sub(entry.lastSeen) > d.limits.SessionTTL || !releases.MayBeSelected(id.session, d.limits.Release) {
			continue
		}
		onTarget := s.tracker.InProgress() && entry.version == s.tracker.Target()
		visit(sessionKey(id.service, id.session, onTarget))
	}
}

// sessionKey is the key of the sum that counts the instances at which a session
// runs on the target of a rollout, or on another version.
func sessionKey(service tables.ServiceID, session string, onTarget bool) aggregates.Key {
	side := "old"
	if onTarget {
		side = "fresh"
	}
	return aggregates.NewExactKey("session", side, string(service), session)
}
