package dispatch

import (
	"testing"

	"github.com/matryer/is"

	"mimosayard/internal/core/aggregates"
	"mimosayard/internal/core/catalog"
	"mimosayard/internal/core/placement"
	"mimosayard/internal/core/releases"
)

// TestSumsOfEarlierBuildsKeepTheirKeys guards against a sum whose name has changed, so that
// instances of two builds each see a part of the fleet's counts, without any error.
func TestSumsOfEarlierBuildsKeepTheirKeys(t *testing.T) {
	d := newDispatcher(newUpstreams("v1", 1)...)
	d.SetRollouts(now, []catalog.Rollout{{Service: "llm", Target: "v2"}}, 0)
	s := d.services["llm"]
	u := &placement.Upstream{Upstream: catalog.Upstream{ID: "u"}}
	release := func(name string) aggregates.Key { return s.sumKey(evidenceKey{"v2", "r"}, name) }
	for name, c := range map[string]struct{ key, want aggregates.Key }{
		"work":            {upstreamKey(valueWork, u), 13406302593924350684},
		"runs":            {upstreamKey(valueRuns, u), 814405332779209002},
		"fails":           {upstreamKey(valueFails, u), 7293214854114430798},
		"rejections":      {statementKey(valueRejections, u), 11559517387005186099},
		"statements":      {statementKey(valueStatements, u), 317876210983261709},
		"any statement":   {anyStatementKey, 17313188691685391201},
		"release runs":    {release(evidenceFields[0].name), 10421834298859963533},
		"release fails":   {release(evidenceFields[1].name), 14204198372182931779},
		"release slow":    {release(evidenceFields[2].name), 12758240050156122345},
		"release paced":   {release(evidenceFields[3].name), 14078609257411786005},
		"release quick":   {release(evidenceFields[4].name), 17286689142067372079},
		"traffic offered": {s.trafficKey(trafficFields[0].name), 10702824134289190131},
		"traffic reached": {s.trafficKey(trafficFields[1].name), 425522983332348435},
		"traffic target":  {s.trafficKey(trafficFields[2].name), 10153679996647548431},
		"blame":           {s.failuresKey("u"), 16702048257779161827},
		"session old":     {sessionKey("llm", "a", false), 12449517105248552765},
		"session target":  {sessionKey("llm", "a", true), 11614180443919593181},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(c.key, c.want) })
	}
	is.New(t).Equal(len(evidenceFields), 5)
	is.New(t).Equal(*trafficFields[0].counter(&releases.Traffic{Offered: 1}), 1.0)
}
