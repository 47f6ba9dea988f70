package dispatch

import (
	"time"

	"mimosayard/internal/core/releases"
	"mimosayard/internal/core/sums"
	"mimosayard/internal/core/tables"
)

// sessionTable remembers on which version of a service a session ran last.
type sessionTable struct {
	versions map[sessionID]sessionEntry
	sweptAt  time.Time
}

// sessionID names a session on a service.
type sessionID struct {
	service tables.ServiceID
	session string
}

type sessionEntry struct {
	version tables.VersionID
	// lastSeen is when a request of the session last began or ended.
	lastSeen time.Time
}

// maxSessions bounds the memory for sessions.
const maxSessions = 50000

func (t *sessionTable) get(now time.Time, service tables.ServiceID, session string, ttl time.Duration) (tables.VersionID, bool) {
	entry, ok := t.versions[sessionID{service, session}]
	if !ok || now.Sub(entry.lastSeen) > ttl {
		return "", false
	}
	return entry.version, true
}

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

// visitSelectableSessions calls a function for each session that may be drawn for a
// rollout. Other instances need to know the version of these, so that a
// session does not change it between two instances.
func (d *Dispatcher) visitSelectableSessions(now time.Time, visit func(key sums.Key)) {
	for id, entry := range d.sessions.versions {
		s := d.services[id.service]
		if s == nil || now.Sub(entry.lastSeen) > d.bounds.Session || !releases.MayBeSelected(id.session, d.bounds.Release) {
			continue
		}
		onTarget := s.release.InProgress() && entry.version == s.release.Target()
		visit(sessionKey(id.service, id.session, onTarget))
	}
}

// sessionKey names the instances at which a session is on the target of a
// rollout, or is not.
func sessionKey(service tables.ServiceID, session string, onTarget bool) sums.Key {
	side := "old"
	if onTarget {
		side = "fresh"
	}
	return sums.ExactKeyOf("session", side, string(service), session)
}
