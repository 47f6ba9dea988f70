// Package events defines the numbered events that instances log.
package events

import (
	"fmt"
	"strings"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// An Event is a kind of log entry. A Number is never reused for another kind,
// so that a filter on a number keeps its meaning.
type Event struct {
	Number  int
	Level   zapcore.Level
	Message string
	// Advice is what operators should do when the event is logged.
	Advice string
}

// Events of the lifecycle of an instance.
var (
	InstanceStarted   = Event{100, zap.InfoLevel, "instance started", "None."}
	InstanceReady     = Event{101, zap.InfoLevel, "instance is ready", "None."}
	InstanceStopping  = Event{102, zap.InfoLevel, "instance is stopping", "None; requests in progress are finished first."}
	InstanceStopped   = Event{103, zap.InfoLevel, "instance stopped", "None."}
	TaskFailed        = Event{104, zap.ErrorLevel, "background task of the instance failed", "Report it with the log; the instance stops."}
	SettingsReloaded  = Event{106, zap.InfoLevel, "settings were reloaded", "None; fields that need a restart are listed."}
	SettingsRejected  = Event{107, zap.WarnLevel, "changed settings are invalid and were not applied", "Correct the settings file; the previous settings stay in force."}
	ProcessPaused     = Event{108, zap.WarnLevel, "process was paused", "Check the machine; the objects are read from the store again."}
	LogEntriesDropped = Event{109, zap.WarnLevel, "log entries were dropped", "The log's reader is too slow."}
	DrainTimedOut     = Event{105, zap.WarnLevel, "requests were still in progress at the end of the drain time", "Raise drain_ms above the longest deadline in routes."}
)

// Events of the configuration.
var (
	ConfigInForce    = Event{200, zap.InfoLevel, "configuration is in force", "None."}
	ConfigAccepted   = Event{201, zap.InfoLevel, "tables were accepted", "None."}
	ConfigRejected   = Event{202, zap.WarnLevel, "tables were rejected", "Run mimosayard status for the mistakes, correct the tables and apply them again."}
	ConfigUnreadable = Event{203, zap.ErrorLevel, "accepted configuration cannot be read", "Check the object config/accepted; the instance keeps the configuration in force."}
)

// Events of the platform's services.
var (
	PlatformUnavailable     = Event{300, zap.WarnLevel, "platform does not answer", "Check the platform; traffic continues with the configuration in force."}
	PlatformAvailable       = Event{301, zap.InfoLevel, "platform answers again", "None."}
	WatchHistoryExpired     = Event{303, zap.WarnLevel, "store no longer holds the history of a watch", "None; the objects are listed again."}
	ObjectsChanged          = Event{304, zap.InfoLevel, "objects changed", "None; source and revision tell where the change came from."}
	ObjectUndecodable       = Event{305, zap.WarnLevel, "object cannot be decoded and is ignored", "Correct or remove the object, or find out what writes it."}
	RolloutStatusWritten    = Event{306, zap.InfoLevel, "status of a rollout was written", "None."}
	RolloutStatusNotWritten = Event{307, zap.WarnLevel, "status of a rollout could not be written", "None if another instance has written it; otherwise check the platform."}
	StoreRestored           = Event{308, zap.WarnLevel, "store was restored from an older copy", "Check that the tables in the store are those last applied; the instance keeps the configuration in force until a later one is written."}
	RaterUnavailable        = Event{302, zap.WarnLevel, "rating service does not answer", "Check the rating service; rollouts do not advance without ratings."}
)

// Events of peers and of bills, which peers keep copies of.
var (
	PeerDown         = Event{400, zap.WarnLevel, "peer is down", "Check the instance if it was not stopped on purpose."}
	BillCopiesHeld   = Event{401, zap.DebugLevel, "copies of a peer's bills are held", "None."}
	PeerBillsSettled = Event{402, zap.InfoLevel, "bills of a peer that is down were settled", "None."}
	BillsPending     = Event{403, zap.WarnLevel, "bills are waiting for the platform's store", "Check the platform; bills are kept in memory until it answers."}
	BillLimitReached = Event{404, zap.ErrorLevel, "the limit on waiting bills is reached", "Requests are refused until the platform's store answers."}
	BillNotCopied    = Event{405, zap.WarnLevel, "bill has no copy at a peer", "Check the peers' connections; the bill is lost if this instance dies before the next settlement."}
)

// Events of the instance's own links to upstreams.
var (
	LinksLost = Event{410, zap.WarnLevel, "own links to upstreams are lost", "Check the network of the instance if its peers reach the upstreams, otherwise the upstreams."}
	LinksBack = Event{411, zap.InfoLevel, "own links to upstreams are back", "None."}
)

// Events of the limits that upstreams name.
var (
	UpstreamLimited = Event{420, zap.InfoLevel, "limit that an upstream names has changed", "None; if callers are refused as overloaded, look at the upstream for why it limits its calls."}
	UpstreamBrittle = Event{421, zap.InfoLevel, "number of rejections that an upstream tolerates has changed", "None; if callers are refused as overloaded, look at the upstream for why it tolerates few."}
	UpstreamCold    = Event{422, zap.InfoLevel, "upstream is presumed cold", "None; reason tells why, share the rate at which this instance calls it."}
	UpstreamWarm    = Event{423, zap.InfoLevel, "upstream is no longer presumed cold", "None."}
)

// Events of evacuations.
var (
	EvacuationBegun = Event{424, zap.WarnLevel, "data centre is evacuated", "None; no request is sent to its upstreams until the object evacuations with its name is removed."}
	EvacuationEnded = Event{425, zap.InfoLevel, "evacuation of a data centre has ended", "None; its upstreams are presumed cold at first."}
)

// Events of callers.
var (
	CallersRefused = Event{430, zap.WarnLevel, "callers were refused or closed for want of room", "Look at which teams send large or slow requests; see OPERATIONS.md, callers that are refused for want of room."}
)

// Events of versions and their rollouts.
var (
	RolloutAdvanced  = Event{500, zap.InfoLevel, "rollout advanced to its next step", "None."}
	VersionJudgedBad = Event{502, zap.WarnLevel, "version was judged bad by its evidence", "Look at the reason and the counts; the version gets no new requests."}
	VersionWithdrawn = Event{501, zap.WarnLevel, "version was withdrawn", "Look at the reason; roll out a corrected version under a new pool name."}
)

// Events of prompt parts and requests that crash upstreams.
var (
	PartQuarantined = Event{510, zap.WarnLevel, "prompt part or request was quarantined", "Find the part in the fields parts or calls of failed requests before it, and what their upstreams logged; requests with it are refused, with the part as detail."}
	PartReleased    = Event{511, zap.InfoLevel, "prompt part or request was released", "None."}
	PartNotStored   = Event{512, zap.WarnLevel, "quarantine could not be read from the store or written to it", "Check the platform; the instances keep the quarantine in memory, and forget it if all of them die."}
)

// Events of orders to engines.
var (
	OrderAcknowledged = Event{550, zap.InfoLevel, "order was acknowledged by an engine", "None."}
	OrdersFailed      = Event{551, zap.WarnLevel, "orders to engines could not all be sent", "Check the engines and the platform; the orders are sent again."}
)

// Events of requests.
var (
	RequestFailed             = Event{600, zap.InfoLevel, "request failed", "See docs/ERRORS.md for the kind."}
	RequestServed             = Event{601, zap.InfoLevel, "request was served", "None."}
	IdempotencyKeyNotReleased = Event{602, zap.WarnLevel, "idempotency key of a request that did not run was not released", "The caller must use a new key."}
)

// All returns all events in the order of the table in docs/EVENTS.md.
func All() []Event {
	return []Event{
		InstanceStarted, InstanceReady, InstanceStopping, InstanceStopped, TaskFailed, DrainTimedOut,
		SettingsReloaded, SettingsRejected, ProcessPaused, LogEntriesDropped,
		ConfigInForce, ConfigAccepted, ConfigRejected, ConfigUnreadable,
		PlatformUnavailable, PlatformAvailable, RaterUnavailable, WatchHistoryExpired, ObjectsChanged, ObjectUndecodable, RolloutStatusWritten, RolloutStatusNotWritten, StoreRestored,
		PeerDown, BillCopiesHeld, PeerBillsSettled, BillsPending, BillLimitReached, BillNotCopied,
		LinksLost, LinksBack, UpstreamLimited, UpstreamBrittle, UpstreamCold, UpstreamWarm, EvacuationBegun, EvacuationEnded, CallersRefused,
		RolloutAdvanced, VersionWithdrawn, VersionJudgedBad, PartQuarantined, PartReleased, PartNotStored,
		OrderAcknowledged, OrdersFailed,
		RequestFailed, RequestServed, IdempotencyKeyNotReleased,
	}
}

// Catalogue returns a Markdown table of all events, which docs/EVENTS.md holds.
func Catalogue() string {
	var table strings.Builder
	table.WriteString("| Number | Level | Message | What to do |\n| --- | --- | --- | --- |\n")
	for _, e := range All() {
		fmt.Fprintf(&table, "| %d | %s | %s | %s |\n", e.Number, e.Level, e.Message, e.Advice)
	}
	return table.String()
}

// Log writes an entry with the level and message of the event, the fields, and
// the number in the field "event".
func (e Event) Log(logger *zap.Logger, fields ...zap.Field) {
	logger.Log(e.Level, e.Message, append(fields, zap.Int("event", e.Number))...)
}
