// Package logs writes log entries asynchronously, so that a slow log reader
// never delays a request.
package logs

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// A Ring buffers log entries between loggers and a writer. An entry that arrives
// while the buffer is full is dropped and counted. It is safe for concurrent use.
type Ring struct {
	entries chan []byte
	dropped atomic.Int64
}

const (
	// ringCapacity is the maximum number of entries that wait to be written; it
	// bounds their memory.
	ringCapacity = 4096
	// batchBytes is the size at which a batch is written. The last entry may
	// exceed it.
	batchBytes = 32 << 10
	// batchDelay is the time to collect entries after the first one of a batch,
	// so that a busy instance makes few writes.
	batchDelay = 20 * time.Millisecond
	// flushTimeout is the time after a stop in which writes of the remaining
	// entries may start.
	flushTimeout = 500 * time.Millisecond
)

// NewRing returns an empty ring.
func NewRing() *Ring {
	return &Ring{entries: make(chan []byte, ringCapacity)}
}

// NewLogger returns a logger that writes entries of the level and above to the
// ring, as JSON lines.
func NewLogger(ring *Ring, level zapcore.Level) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(config), ring, level))
}

// Dropped returns the number of entries dropped since the ring was made.
func (r *Ring) Dropped() int64 {
	return r.dropped.Load()
}

// Sync implements zapcore.WriteSyncer. It does nothing; Run writes the entries.
func (r *Ring) Sync() error {
	return nil
}

// Write implements zapcore.WriteSyncer. It copies the entry and never blocks. A
// dropped entry is no error.
func (r *Ring) Write(entry []byte) (int, error) {
	select {
	case r.entries <- append([]byte(nil), entry...):
	default:
		r.dropped.Add(1)
	}
	return len(entry), nil
}

// Run writes entries to the writer until the context ends, and then those that
// remain. It starts no write later than flushTimeout after the end.
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

// writeBatch adds waiting entries to the batch and writes it in one call.
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
	// A failed write is ignored, since the log is the only place to report it.
	_, _ = writer.Write(batch)
}

// flush writes the remaining entries, and starts no write after flushTimeout.
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
