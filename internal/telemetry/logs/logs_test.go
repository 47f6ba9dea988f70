package logs

import (
	"context"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap/zapcore"
)

// lockedBuffer is a buffer whose writes are safe for concurrent use.
type lockedBuffer struct {
	mutex sync.Mutex
	strings.Builder
}

func (b *lockedBuffer) Write(data []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.Builder.Write(data)
}

// TestRingWritesInOrderAndDropsWhenFull guards against entries lost or
// reordered at a stop, and against a logger that blocks requests when the log
// is read too slowly.
func TestRingWritesInOrderAndDropsWhenFull(t *testing.T) {
	t.Run("entries are written in order, the remaining ones at the stop", func(t *testing.T) {
		is := is.New(t)
		ring := NewRing()
		logger := NewLogger(ring, zapcore.InfoLevel)
		logger.Info("first")
		logger.Debug("too low")
		logger.Info("second")
		ctx, stop := context.WithCancel(t.Context())
		stop()
		var out lockedBuffer
		ring.Run(ctx, &out)
		is.Equal(strings.Count(out.String(), "\n"), 2)
		is.True(strings.Index(out.String(), "first") < strings.Index(out.String(), "second"))
	})
	t.Run("a full ring drops and counts entries without blocking", func(t *testing.T) {
		is := is.New(t)
		ring := NewRing()
		for range ringCapacity + 7 {
			_, err := ring.Write([]byte("x\n"))
			is.NoErr(err)
		}
		is.Equal(ring.Dropped(), int64(7))
	})
}
