package quarantine

import (
	"testing"

	"github.com/matryer/is"

	"mimosayard/internal/core/aggregates"
)

// TestSumsOfEarlierBuildsKeepTheirKeys guards against a sum whose name has changed, so that
// instances of two builds each see a part of the evidence, without any error.
func TestSumsOfEarlierBuildsKeepTheirKeys(t *testing.T) {
	for name, c := range map[string]struct{ key, want aggregates.Key }{
		"evidence":        {evidenceKey, 10601887171928491051},
		"lost calls":      {lostCallsKey, 8565017394695107411},
		"answered calls":  {answeredCallsKey, 3830616536137091559},
		"lives":           {partKey(keyLives, "p"), 14076290481397969039},
		"answers":         {partKey(keyAnswers, "p"), 409973245896076505},
		"quarantined":     {partKey(keyQuarantined, "p"), 8025690239076757999},
		"life buckets":    {partKey(keyLifeBuckets, "p").Offset(bucketOf("life")), 9630321657835896799},
		"request buckets": {partKey(keyRequestBuckets, "p").Offset(bucketOf("request")), 18094037005939903665},
		"ended lives":     {partKey(keyEnded, "p"), 16401377034585925635},
		"withdrawn":       {partKey(keyWithdrawn, "p"), 9872271364125905983},
		"outlived lives":  {partKey(keyOutlivedBuckets, "p").Offset(bucketOf("life")), 2294957989088726667},
		"life's sign":     {SignKey("life"), 315481851356051463},
		"life's loss":     {lostKey("life"), 15565834894023331551},
		"life's end":      {endKey("life"), 6818774895644762205},
		"attributed life": {lifeKey("life"), 17161379939721808449},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(c.key, c.want) })
	}
}
