package service

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRepeatedRequestEndsUpstreamAfterUpstream guards against a request that its caller
// repeats at all instances and that goes on ending upstreams of the product's own interface
// after three of them, and against others that are refused for it.
func TestRepeatedRequestEndsUpstreamAfterUpstream(t *testing.T) {
	t.Parallel()
	const (
		repetitions = 40
		// most is what may be sent after three upstreams have ended: three more.
		most = 3 + 3
	)
	f := newTestFleet(t, 3)
	for name, load := range map[string]struct {
		upstreams          []*testUpstream
		path, crash, sound string
	}{
		"models":         {f.engines, chatPath, `{"model":"llm","stream":true,"messages":[{"role":"user","content":"` + crashingText + `"}]}`, chatBody},
		"plain services": {[]*testUpstream{f.deskServer}, "/services/orders/deposits", `"` + crashingText + `"`, `{}`},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ticker := time.NewTicker(restartTime)
			defer ticker.Stop()
			served := 0
			for n := range repetitions {
				f.post(n%len(f.instances), load.path, load.crash)
				<-ticker.C
				if f.post(n%len(f.instances), load.path, load.sound) == http.StatusOK {
					served++
				}
			}
			crashes := int64(0)
			for _, u := range load.upstreams {
				crashes += u.crashes.Load()
			}
			t.Logf("%d crashes, %d of %d sound requests served", crashes, served, repetitions)
			is.True(crashes <= most)
			is.True(served*10 >= repetitions*8)
		})
	}
}
