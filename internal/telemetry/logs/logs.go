// Package logs writes the log without ever making a request wait for it.
package logs

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// A Ring takes log entries and hands them to a writer in a duty of its own. An
// entry that finds the ring full is dropped and counted.
type Ring struct {
	entries chan []byte
	dropped atomic.Int64
}

const (
	// ringCapacity bounds the memory for entries that wait to be written.
	ringCapacity = 4096
	// batchBytes is the size of one write.
	batchBytes = 32 << 10
	// batchDelay lets entries gather, so that a busy instance makes few
	// writes.
	batchDelay = 20 * time.Millisecond
	// flushTimeout bounds the wait for the last entries at a stop.
	flushTimeout = 500 * time.Millisecond
)

// NewRing returns an empty ring.
func NewRing() *Ring {
	return &Ring{entries: make(chan []byte, ringCapacity)}
}

// NewLogger returns a logger that writes JSON lines to the ring.
func NewLogger(ring *Ring, level zapcore.Level) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(config), ring, level))
}

// Dropped returns the number of entries that were dropped.
func (r *Ring) Dropped() int64 {
	return r.dropped.Load()
}

// Sync implements zapcore.WriteSyncer.
func (r *Ring) Sync() error {
	return nil
}

// Write implements zapcore.WriteSyncer. It does not block.
func (r *Ring) Write(entry []byte) (int, error) {
	select {
	case r.entries <- append([]byte(nil), entry...):
	default:
		r.dropped.Add(1)
	}
	return len(entry), nil
}

// Run writes entries until the context ends, and those that are left then.
func (r *Ring) Run(ctx context.Context, writer io.Writer) {
	for {
		select {
		case <-ctx.Done():
			r.flush(writer)
			return
		case entry := <-r.entries:
			time.Sleep(batchDelay)
			r.writeBatch(writer, entry)
		}
	}
}

func (r *Ring) writeBatch(writer io.Writer, batch []byte) {
	for len(batch) < batchBytes {
		select {
		case entry := <-r.entries:
			batch = append(batch, entry...)
			continue
		default:
		}
		break
	}
	// A log that cannot be written leaves nowhere to say so.
	_, _ = writer.Write(batch)
}

func (r *Ring) flush(writer io.Writer) {
	deadline := time.Now().Add(flushTimeout)
	for time.Now().Before(deadline) {
		select {
		case entry := <-r.entries:
			r.writeBatch(writer, entry)
		default:
			return
		}
	}
}
