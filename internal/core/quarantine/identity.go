package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// A PartID identifies a part of a prompt that other prompts may share, or a request by its
// content.
type PartID string

// requestPrefix marks the IDs of requests.
const requestPrefix = "request-"

// NewRequestPart returns the ID of the requests with a content. It is a cryptographic hash,
// so that no caller can make another's request look like its own.
func NewRequestPart(content ...string) PartID {
	digest := sha256.New()
	var length [8]byte
	for _, part := range content {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = digest.Write(length[:])
		_, _ = io.WriteString(digest, part)
	}
	return PartID(requestPrefix + hex.EncodeToString(digest.Sum(nil)[:requestDigestBytes]))
}

// requestDigestBytes is the length of the hash in the ID of a request.
const requestDigestBytes = 16

// IsRequest reports whether the ID is that of a request.
func (p PartID) IsRequest() bool {
	return strings.HasPrefix(string(p), requestPrefix)
}

// buckets divide lives or requests by their hash, so that sums show how many different
// ones there are. An element is true if there is one in the bucket.
type buckets [256]bool

// bucketOf returns the index of the bucket of a name.
func bucketOf(name string) int {
	return int(xxhash.Sum64String(name) % uint64(len(buckets{})))
}

// add marks the bucket of a name.
func (b *buckets) add(name string) {
	b[bucketOf(name)] = true
}

// count returns the number of marked buckets.
func (b *buckets) count() float64 {
	count := 0.0
	for _, marked := range b {
		if marked {
			count++
		}
	}
	return count
}
